package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import org.eclipse.jetty.util.Blocker;
import org.eclipse.jetty.util.Callback;

/** Waits for one write. */
final class Blocking implements Callback, AutoCloseable {

  private final Blocker.Callback blocker = Blocker.callback();

  void block() throws IOException {
    blocker.block();
  }

  @Override
  public void succeeded() {
    blocker.succeeded();
  }

  @Override
  public void failed(Throwable failure) {
    blocker.failed(failure);
  }

  @Override
  public void close() {
    blocker.close();
  }
}
