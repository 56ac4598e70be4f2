package org.fallturn.node.engine;

import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;

/**
 * Knows whether a byte of a request may have left this process: false until Jetty has a connection
 * and begins to write. Thread-safe.
 */
public final class SendTracker implements Request.BeginListener {

  private final AtomicBoolean begun = new AtomicBoolean();

  @Override
  public void onBegin(Request request) {
    begun.set(true);
  }

  /** Whether a byte may have been sent. */
  public boolean mayHaveBeenSent() {
    return begun.get();
  }
}
