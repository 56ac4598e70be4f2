package org.fallturn.rehearsal.emulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Response;

/** Writes the parts of answers, and waits between them until its engine ends. Thread-safe. */
final class AnswerParts {

  private static final Duration SHORT_PAUSE = Duration.ofMillis(5);

  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile Duration pause = SHORT_PAUSE;

  void setPause(Duration newPause) {
    pause = newPause;
  }

  /** Writes a part of an answer. */
  void write(Response response, String text) throws Exception {
    try (Blocking written = new Blocking()) {
      response.write(false, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), written);
      written.block();
    }
  }

  /** Waits after a part; no longer than until the engine ends. */
  void pause() throws InterruptedException {
    endWithin(pause);
  }

  /** Waits for some time; returns at once, and true, when the engine ends. */
  boolean endWithin(Duration duration) throws InterruptedException {
    return ended.await(duration.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Ends all pauses. */
  void end() {
    ended.countDown();
  }
}
