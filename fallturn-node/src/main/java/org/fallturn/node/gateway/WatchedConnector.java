package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/**
 * Accepts callers' connections so that each can be watched for its end, and ends those on which the
 * head of a request takes too long: they are told that it was not run.
 */
final class WatchedConnector extends ServerConnector {

  static final long CHECK_MILLIS = 250;

  /** After a longer pause between two checks this process stood still, not its callers. */
  private static final long STOOD_STILL_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * CHECK_MILLIS);

  private static final byte[] HEAD_TOO_SLOW =
      "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);

  private volatile long headTimeoutNanos = Long.MAX_VALUE;
  private long lastCheckNanos;

  WatchedConnector(Server server, HttpConnectionFactory http) {
    super(server, 0, 1, http);
  }

  /** How long the head of a request may take from its first byte. */
  void setHeadTimeout(Duration timeout) {
    headTimeoutNanos = timeout.toNanos();
  }

  @Override
  protected void doStart() throws Exception {
    super.doStart();
    lastCheckNanos = System.nanoTime();
    scheduleCheck();
  }

  private void scheduleCheck() {
    getScheduler().schedule(this::checkHeads, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void checkHeads() {
    if (!isRunning()) {
      return;
    }
    long now = System.nanoTime();
    boolean stoodStill = now - lastCheckNanos > STOOD_STILL_NANOS;
    lastCheckNanos = now;
    for (EndPoint endPoint : getConnectedEndPoints()) {
      if (endPoint instanceof WatchedEndPoint watched) {
        check(watched, stoodStill);
      }
    }
    scheduleCheck();
  }

  private void check(WatchedEndPoint caller, boolean stoodStill) {
    if (stoodStill) {
      caller.restartHead();
    } else if (caller.checkHead(headTimeoutNanos, checksWithin(headTimeoutNanos))) {
      caller.write(Callback.from(caller::close), ByteBuffer.wrap(HEAD_TOO_SLOW));
    }
  }

  /** So many checks come in a time, rounded up, unless this process stands still. */
  private static long checksWithin(long nanos) {
    long interval = TimeUnit.MILLISECONDS.toNanos(CHECK_MILLIS);
    return nanos / interval + (nanos % interval == 0 ? 0 : 1);
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    WatchedEndPoint endPoint = new WatchedEndPoint(channel, selector, key, getScheduler());
    endPoint.setIdleTimeout(getIdleTimeout());
    return endPoint;
  }
}
