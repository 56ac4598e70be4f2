package org.fallturn.node.gateway;

import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.http.HttpFields;

/**
 * Holds the thread that is about to send a request, or reads the head of an answer, which asks for
 * it, until it is opened.
 */
final class RequestGate {

  /** Header, with its line end, of a request or answer that is held. */
  static final String HOLD = "X-Hold: 1\r\n";

  private final CountDownLatch held = new CountDownLatch(1);
  private final CountDownLatch opened = new CountDownLatch(1);

  HttpFields pass(HttpFields headers) {
    if (headers.contains("X-Hold")) {
      held.countDown();
      try {
        opened.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return headers;
  }

  /** Waits until a thread is held. */
  void awaitHeld() throws InterruptedException {
    held.await();
  }

  void open() {
    opened.countDown();
  }
}
