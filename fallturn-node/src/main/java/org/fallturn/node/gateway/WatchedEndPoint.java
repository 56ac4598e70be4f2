package org.fallturn.node.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that can be watched for its end while a request is served. HTTP/1.1 reads
 * nothing between the end of a request and its answer, so a caller that leaves would go unnoticed;
 * while watching, the connection is read into a side buffer that the next request is read from. It
 * also knows since when the head of a request has been coming in. Thread-safe.
 */
final class WatchedEndPoint extends SocketChannelEndPoint {

  private static final int SIDE_BUFFER_BYTES = 2_048;

  private final Object lock = new Object();
  private ByteBuffer side = BufferUtil.EMPTY_BUFFER;
  private boolean endOfInput;
  private Runnable onGone;
  private long servedRequest;
  private boolean serving;
  private long headSinceNanos;
  private long headChecks;

  WatchedEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  /** Begins to watch; the listener is called at most once, on any thread. */
  void watch(Runnable listener) {
    synchronized (lock) {
      onGone = listener;
    }
    register();
  }

  /** Ends watching, before the request is completed; the listener is not called after this. */
  void unwatch() {
    synchronized (lock) {
      if (onGone == null) {
        return;
      }
      onGone = null;
    }
    getFillInterest().fillable();
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    int filled = fillFromEither(buffer);
    if (filled > 0) {
      onHeadBytes();
    }
    return filled;
  }

  private int fillFromEither(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      if (side.hasRemaining()) {
        return BufferUtil.append(buffer, side);
      }
      if (endOfInput) {
        return -1;
      }
    }
    return super.fill(buffer);
  }

  private void onHeadBytes() {
    synchronized (lock) {
      if (!serving && headSinceNanos == 0) {
        headSinceNanos = System.nanoTime();
        headChecks = 0;
      }
    }
  }

  /**
   * The head of a request has been read; what comes now is its body.
   *
   * @return what says that the request was answered, so that what comes then is the head of the
   *     next; nothing where the next is being served already, since the server may have read it
   *     before it tells of the end of this one
   */
  Runnable beginServing() {
    synchronized (lock) {
      serving = true;
      headSinceNanos = 0;
      long request = ++servedRequest;
      return () -> endServing(request);
    }
  }

  private void endServing(long request) {
    synchronized (lock) {
      serving = serving && request != servedRequest;
    }
  }

  /** Begins to count anew how long a head has been coming in, if one is. */
  void restartHead() {
    synchronized (lock) {
      headSinceNanos = headSinceNanos == 0 ? 0 : System.nanoTime();
      headChecks = 0;
    }
  }

  /**
   * Whether the head of a request has been coming in for longer than a time, and at as many checks
   * as come in it: where this process stood still, it may only not have read what was there.
   */
  boolean checkHead(long nanos, long checks) {
    synchronized (lock) {
      headChecks++;
      return headChecks >= checks && headTakesLongerThan(nanos);
    }
  }

  /** Whether the head of a request has been coming in for longer than a time. */
  boolean headTakesLongerThan(long nanos) {
    synchronized (lock) {
      return headSinceNanos != 0 && System.nanoTime() - headSinceNanos > nanos;
    }
  }

  /** Not once watching has ended, or the server could not wait for the next request. */
  private void register() {
    synchronized (lock) {
      if (onGone != null) {
        getFillInterest().tryRegister(new Watch());
      }
    }
  }

  private void onReadable() {
    Runnable listener = null;
    boolean again = false;
    synchronized (lock) {
      if (onGone == null) {
        return;
      }
      if (readAhead()) {
        again = !side.hasRemaining();
      } else {
        listener = onGone;
        onGone = null;
      }
    }
    if (listener != null) {
      listener.run();
    } else if (again) {
      register();
    }
  }

  /** False when the caller has closed its side. Bytes of a next request end the watch. */
  private boolean readAhead() {
    ByteBuffer buffer = BufferUtil.allocate(SIDE_BUFFER_BYTES);
    try {
      int read = super.fill(buffer);
      endOfInput = read < 0;
      side = buffer;
      return read >= 0;
    } catch (IOException e) {
      endOfInput = true;
      return false;
    }
  }

  private void onFailed(Throwable failure) {
    if (failure instanceof TimeoutException) {
      register();
      return;
    }
    Runnable listener;
    synchronized (lock) {
      listener = onGone;
      onGone = null;
    }
    if (listener != null) {
      listener.run();
    }
  }

  /** Hears of readiness to read while a request is served. */
  private final class Watch implements Callback {

    @Override
    public void succeeded() {
      onReadable();
    }

    @Override
    public void failed(Throwable failure) {
      onFailed(failure);
    }

    @Override
    public InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }
  }
}
