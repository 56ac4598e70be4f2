package org.fallturn.node.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection that tells a reset from an orderly end. The usual end point reports both as the end
 * of input, so that an answer without a length that was reset on its way would look whole. Its own
 * end is never an orderly one: a peer that reads such an end does not see the reset behind it, and
 * may work on for a caller that still reads. It is read in turns with others, and fails once it
 * brings bytes without progress.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint implements ProgressGuard.Guarded {

  private final ReadTurn turn = new ReadTurn();
  private final ProgressGuard progress = new ProgressGuard();

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  /** The HTTP client closes the connection after this, or once the last answer has come. */
  @Override
  protected void doShutdownOutput() {
    // The peer sees a reset when the connection is closed.
  }

  @Override
  public ProgressGuard progress() {
    return progress;
  }

  /** The reader is told when there is more, after the other connections. */
  @Override
  protected void needsFillInterest() {
    turn.begin();
    super.needsFillInterest();
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    if (progress.isExceeded()) {
      throw new IOException("the message goes on without progress");
    }
    if (turn.takeEnd()) {
      return 0;
    }
    int position = BufferUtil.flipToFill(buffer);
    int filled;
    try {
      filled = getChannel().read(buffer);
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    turn.add(filled);
    progress.onRead(filled);
    if (filled > 0) {
      notIdle();
    } else if (filled < 0) {
      shutdownInput();
    }
    return filled;
  }
}
