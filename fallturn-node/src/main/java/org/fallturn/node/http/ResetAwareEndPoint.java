package org.fallturn.node.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection that tells a reset from an orderly end, and is reset when this process closes it.
 * The usual end point reports both as the end of input, so that an answer without a length that was
 * reset on its way would look whole; and what the kernel has not sent when it is closed is still
 * delivered, even once the peer reads again long after a request was given up.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

  private static final Logger LOG = LoggerFactory.getLogger(ResetAwareEndPoint.class);

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  @Override
  public void doClose() {
    try {
      getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      LOG.debug("connections: A connection has ended before it could be reset.", e);
    }
    super.doClose();
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    int position = BufferUtil.flipToFill(buffer);
    int filled;
    try {
      filled = getChannel().read(buffer);
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    if (filled > 0) {
      notIdle();
    } else if (filled < 0) {
      shutdownInput();
    }
    return filled;
  }
}
