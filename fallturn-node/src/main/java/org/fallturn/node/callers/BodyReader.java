package org.fallturn.node.callers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads a caller's body up to a bound by asynchronous demand, so that a slow caller holds no
 * thread. A body that is not whole within a bound on time is refused, also when it comes in drops.
 * One reader a request.
 */
final class BodyReader implements Runnable, InFlightRequests.TimedRequest {

  private static final Logger LOG = LoggerFactory.getLogger(BodyReader.class);

  /**
   * A body that is too large is read to its end before it is refused, up to so many times the
   * bound: closing with unread bytes resets the connection, and a caller that is still writing
   * loses the refusal ("Broken pipe" each time, at 64 KB every 3 ms). Judged: bounds what a caller
   * can make the door read in vain.
   */
  private static final int DROPPED_BODIES = 4;

  private final Request request;
  private final int maxBytes;
  private final InFlightRequests inFlight;
  private final long untilNanos;
  private final Next next;
  private final Failed failed;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private long read;

  /** What happens with the whole body. */
  @FunctionalInterface
  interface Next {
    void accept(byte[] body) throws FallturnException;
  }

  /** What happens when there is none, or when the next step refuses it. */
  @FunctionalInterface
  interface Failed {
    void accept(FallturnException error);
  }

  private BodyReader(Request request, CallerServices services, Next next, Failed failed) {
    this.request = request;
    this.maxBytes = services.settings().maxBodyBytes();
    this.inFlight = services.inFlight();
    this.untilNanos = System.nanoTime() + services.settings().idleTimeout().toNanos();
    this.next = next;
    this.failed = failed;
  }

  /** Starts reading; exactly one of the two is called, possibly before this returns. */
  static void read(Request request, CallerServices services, Next next, Failed failed) {
    BodyReader reader = new BodyReader(request, services, next, failed);
    if (reader.isRefusedUnread()) {
      failed.accept(reader.tooLarge());
      return;
    }
    reader.inFlight.add(reader);
    reader.run();
  }

  /**
   * Whether the body is announced to be too large and is not read at all: its caller asked before
   * sending it, or it is longer than is read only to be dropped.
   */
  private boolean isRefusedUnread() {
    boolean asks = request.getHeaders().contains(HttpHeader.EXPECT, "100-continue");
    return request.getLength() > (asks ? maxBytes : longestDropped());
  }

  private long longestDropped() {
    return (long) DROPPED_BODIES * maxBytes;
  }

  @Override
  public void onTick(long nowNanos) {
    if (nowNanos - untilNanos >= 0) {
      inFlight.remove(this);
      request.fail(new TimeoutException("the body took too long"));
    }
  }

  private void fail(FallturnException error) {
    inFlight.remove(this);
    failed.accept(error);
  }

  @Override
  public void run() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        fail(
            new FallturnException(
                ErrorKind.INVALID_REQUEST, "the body broke off", chunk.getFailure()));
        return;
      }
      keep(chunk.getByteBuffer());
      boolean last = chunk.isLast();
      chunk.release();
      if (last || read > longestDropped()) {
        end();
        return;
      }
    }
  }

  /** What is read past the bound is dropped, and with it all that was kept. */
  private void keep(ByteBuffer buffer) {
    read += buffer.remaining();
    if (read > maxBytes) {
      body.reset();
      return;
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    body.writeBytes(bytes);
  }

  private void end() {
    if (read > maxBytes) {
      fail(tooLarge());
    } else {
      handOver();
    }
  }

  private void handOver() {
    inFlight.remove(this);
    try {
      next.accept(body.toByteArray());
    } catch (FallturnException e) {
      failed.accept(e);
    } catch (RuntimeException e) {
      LOG.error("callers: A request could not be started.", e);
      failed.accept(new FallturnException(ErrorKind.INTERNAL, "internal error", e));
    }
  }

  private FallturnException tooLarge() {
    return new FallturnException(
        ErrorKind.TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
  }
}
