package org.fallturn.node.callers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads a caller's body up to a bound by asynchronous demand, so that a slow caller holds no
 * thread. One reader a request.
 */
final class BodyReader implements Runnable {

  private static final Logger LOG = LoggerFactory.getLogger(BodyReader.class);

  private final Request request;
  private final int maxBytes;
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

  private BodyReader(Request request, int maxBytes, Next next, Failed failed) {
    this.request = request;
    this.maxBytes = maxBytes;
    this.next = next;
    this.failed = failed;
  }

  /** Starts reading; exactly one of the two is called, possibly before this returns. */
  static void read(Request request, int maxBytes, Next next, Failed failed) {
    BodyReader reader = new BodyReader(request, maxBytes, next, failed);
    if (request.getLength() > maxBytes) {
      failed.accept(reader.tooLarge());
      return;
    }
    reader.run();
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
        failed.accept(
            new FallturnException(
                ErrorKind.INVALID_REQUEST, "the body broke off", chunk.getFailure()));
        return;
      }
      boolean fits = keep(chunk.getByteBuffer());
      boolean last = chunk.isLast();
      chunk.release();
      if (!fits) {
        failed.accept(tooLarge());
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
