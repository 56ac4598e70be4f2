package org.fallturn.node.callers;

import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.server.Request;

/**
 * Tells a request's exchange that its caller's connection failed, also when that happened before
 * the exchange began to listen. Thread-safe.
 */
final class CallerConnection {

  private static final Runnable FAILED = () -> {};

  private final AtomicReference<Runnable> listener = new AtomicReference<>();

  private CallerConnection() {}

  /** Watches a request's connection; waiting for engines is not idleness of the caller. */
  static CallerConnection watch(Request request) {
    CallerConnection connection = new CallerConnection();
    request.addIdleTimeoutListener(timeout -> false);
    request.addFailureListener(failure -> connection.fail());
    return connection;
  }

  /** Sets who hears of the failure, at once if it has happened. At most one call a request. */
  void onFailure(Runnable newListener) {
    if (!listener.compareAndSet(null, newListener)) {
      newListener.run();
    }
  }

  private void fail() {
    Runnable waiting = listener.getAndSet(FAILED);
    if (waiting != null) {
      waiting.run();
    }
  }
}
