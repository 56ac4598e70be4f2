package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Server connector whose connections can be watched for a disconnect while a request is served. It
 * also closes connections on which the head of a request takes too long to arrive, after a 408
 * answer, which says that the request was not run.
 */
final class WatchedConnector extends ServerConnector {

  private static final Logger LOG = LoggerFactory.getLogger(WatchedConnector.class);

  static final long CHECK_MILLIS = 250;

  /** A longer pause between two checks means that this process was stalled, not its callers. */
  private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * CHECK_MILLIS);

  private static final byte[] HEAD_TOO_SLOW =
      "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);

  private volatile long headTimeoutNanos = Long.MAX_VALUE;
  private final Consumer<ConnectionCut> onCut;
  private long lastCheckNanos;

  /**
   * Creates a connector that is not open.
   *
   * @param onCut called for each connection that this process closes while it runs without the
   *     caller expecting that; on the thread that closes the connection
   */
  WatchedConnector(Server server, HttpConnectionFactory http, Consumer<ConnectionCut> onCut) {
    super(server, 0, 1, http);
    this.onCut = onCut;
  }

  /** Sets how long the head of a request may take, counted from its first byte. */
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
    boolean stalled = now - lastCheckNanos > STALL_NANOS;
    lastCheckNanos = now;
    for (EndPoint endPoint : getConnectedEndPoints()) {
      if (endPoint instanceof WatchedEndPoint watched) {
        check(watched, stalled);
      }
    }
    scheduleCheck();
  }

  private void check(WatchedEndPoint caller, boolean stalled) {
    if (stalled) {
      caller.restartHeadTimer();
    } else if (caller.checkHeadTimeout(headTimeoutNanos, checksWithin(headTimeoutNanos))) {
      if (caller.refuseHead()) {
        LOG.info(
            "callers: The head of a request from {} is late.", caller.getRemoteSocketAddress());
        caller.write(Callback.from(caller::close), ByteBuffer.wrap(HEAD_TOO_SLOW));
      } else {
        LOG.info("callers: A head has come and is not served yet; this process is slow.");
        caller.restartHeadTimer();
      }
    }
  }

  /** Number of checks, rounded up, that run in a time unless this process is stalled. */
  private static long checksWithin(long nanos) {
    long interval = TimeUnit.MILLISECONDS.toNanos(CHECK_MILLIS);
    return nanos / interval + (nanos % interval == 0 ? 0 : 1);
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    return WatchedEndPoint.of(this, channel, selector, key, this::reportWhileRunning);
  }

  /** Connections that end with the connector are cut on purpose. */
  private void reportWhileRunning(ConnectionCut cut) {
    if (isRunning()) {
      onCut.accept(cut);
    }
  }
}
