package org.fallturn.rehearsal.emulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the parts of answers, and waits between them until its engine ends. Thread-safe. */
final class AnswerParts {

  private static final Duration SHORT_PAUSE = Duration.ofMillis(5);

  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile Duration pause = SHORT_PAUSE;
  private volatile boolean endsWithConnection;

  void setPause(Duration newPause) {
    pause = newPause;
  }

  /** Sets whether answers have neither a length nor chunks, and end with their connections. */
  void endWithConnection(boolean value) {
    endsWithConnection = value;
  }

  /** The server gives an answer of unknown length chunks, unless its connection ends with it. */
  void delimit(Response response) {
    if (endsWithConnection) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }
  }

  /** Writes a whole answer, in two parts if it ends with its connection. */
  void writeWhole(Response response, Callback callback, String body) throws Exception {
    int first = endsWithConnection ? body.length() / 2 : 0;
    if (first > 0) {
      write(response, body.substring(0, first));
      pause();
    }
    writeLast(response, callback, body.substring(first));
  }

  /** Writes the last part of an answer. */
  static void writeLast(Response response, Callback callback, String text) {
    response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
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
