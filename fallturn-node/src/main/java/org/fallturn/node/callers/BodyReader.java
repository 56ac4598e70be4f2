package org.fallturn.node.callers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
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

  private final Request request;
  private final int maxBytes;
  private final InFlightRequests inFlight;
  private final long untilNanos;
  private final Next next;
  private final Failed failed;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

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
    if (request.getLength() > reader.maxBytes) {
      failed.accept(reader.tooLarge());
      return;
    }
    reader.inFlight.add(reader);
    reader.run();
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
      boolean fits = keep(chunk.getByteBuffer());
      boolean last = chunk.isLast();
      chunk.release();
      if (!fits) {
        fail(tooLarge());
        return;
      }
      if (last) {
        handOver();
        return;
      }
    }
  }

  private boolean keep(ByteBuffer buffer) {
    if (body.size() + buffer.remaining() > maxBytes) {
      return false;
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    body.writeBytes(bytes);
    return true;
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
