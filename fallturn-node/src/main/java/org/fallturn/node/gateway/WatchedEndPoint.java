package org.fallturn.node.gateway;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.fallturn.node.http.ProgressGuard;
import org.fallturn.node.http.ReadTurn;

/**
 * Connection of a caller that can be watched for a disconnect while a request is served. The
 * HTTP/1.1 server reads nothing between the end of a request and its answer, so a disconnect would
 * go unnoticed. While watched, the connection is read into a side buffer, from which the next
 * request is read first. The class also measures how long the head of a request has been arriving,
 * and reports a connection that this process closes before its caller can expect that. It is read
 * in turns with others, and ends when a body goes on without progress. Thread-safe.
 */
final class WatchedEndPoint extends SocketChannelEndPoint implements ProgressGuard.Guarded {

  /** Bytes of next requests that are read ahead at most; beyond them the watch ends. */
  private static final int MAX_SIDE_BUFFER_BYTES = 32 * 1024;

  private static final int READ_AHEAD_BYTES = 2_048;

  private final Object lock = new Object();
  private final ReadTurn turn = new ReadTurn();
  private final ProgressGuard progress = new ProgressGuard();
  private final SocketAddress caller;
  private final Executor executor;
  private final Consumer<ConnectionCut> onCut;
  private ByteBuffer sideBuffer = BufferUtil.EMPTY_BUFFER;
  private boolean endOfInput;
  private Runnable onDisconnect;
  private long servedRequest;
  private boolean serving;
  private long headSinceNanos;
  private long headChecks;
  private boolean refused;
  private boolean closeExpected;
  private ConnectionCut.Cause closeCause = ConnectionCut.Cause.SERVER;
  private String requestId = "";

  /**
   * Creates the end of an accepted connection.
   *
   * @param executor reports bytes that were read ahead
   * @param onCut called at most once, on the thread that closes the connection, when this process
   *     closes it without the caller expecting that
   */
  WatchedEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      Executor executor,
      Consumer<ConnectionCut> onCut) {
    super(channel, selector, key, scheduler);
    this.caller = getRemoteSocketAddress();
    this.executor = executor;
    this.onCut = onCut;
  }

  /**
   * Creates the end of a connection that a connector has accepted.
   *
   * @param onCut see the constructor
   */
  static WatchedEndPoint of(
      ServerConnector connector,
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Consumer<ConnectionCut> onCut) {
    WatchedEndPoint endPoint =
        new WatchedEndPoint(
            channel, selector, key, connector.getScheduler(), connector.getExecutor(), onCut);
    endPoint.setIdleTimeout(connector.getIdleTimeout());
    return endPoint;
  }

  /** Records which request the connection serves, for the report of a cut. */
  void setRequestId(String id) {
    synchronized (lock) {
      requestId = id;
    }
  }

  /**
   * Records that the caller expects the connection to end: an answer says so, or it asked for it.
   */
  void expectClose() {
    synchronized (lock) {
      closeExpected = true;
    }
  }

  /** Closes the connection because an answer cannot be completed. */
  void abort() {
    setCloseCause(ConnectionCut.Cause.ANSWER_ABORTED);
    close();
  }

  /**
   * Ends what waits for the caller: the connection, the body of a request, or a blocked write. A
   * process that stood still finds the timeout passed before it has read the request that the
   * caller sent in time, or while it begins to serve it; the connection is not idle then.
   */
  @Override
  protected void onIdleExpired(TimeoutException timeout) {
    if (isServing()) {
      if (awaitsBytes() || getWriteFlusher().isPending()) {
        closeAsIdle(() -> super.onIdleExpired(timeout));
      }
    } else if (awaitsBytes()) {
      // Takes the registration unless the selector has taken it for bytes that just came.
      closeAsIdle(() -> getFillInterest().onFail(timeout));
    }
  }

  private boolean isServing() {
    synchronized (lock) {
      return serving;
    }
  }

  /** The server closes its output first, and the rest when the caller has closed its side too. */
  private void closeAsIdle(Runnable close) {
    setCloseCause(ConnectionCut.Cause.IDLE);
    close.run();
    if (!isOutputShutdown()) {
      setCloseCause(ConnectionCut.Cause.SERVER);
    }
  }

  private void setCloseCause(ConnectionCut.Cause cause) {
    synchronized (lock) {
      closeCause = cause;
    }
  }

  @Override
  public void onClose(Throwable failure) {
    super.onClose(failure);
    ConnectionCut cut;
    synchronized (lock) {
      cut =
          new ConnectionCut(
              caller, closeCause, phase(), requestId, failure == null ? "" : failure.toString());
      if (isExpected(cut, failure)) {
        return;
      }
      closeExpected = true;
    }
    onCut.accept(cut);
  }

  private ConnectionCut.Phase phase() {
    if (serving) {
      return ConnectionCut.Phase.SERVING;
    }
    return headSinceNanos != 0 || sideBuffer.hasRemaining()
        ? ConnectionCut.Phase.READING_HEAD
        : ConnectionCut.Phase.BETWEEN_REQUESTS;
  }

  /** An {@link EofException} of the server means that the caller closed the connection. */
  private boolean isExpected(ConnectionCut cut, Throwable failure) {
    boolean idle =
        cut.cause() == ConnectionCut.Cause.IDLE
            && cut.phase() == ConnectionCut.Phase.BETWEEN_REQUESTS;
    boolean callerClosed = endOfInput || failure instanceof EofException;
    return idle || callerClosed || closeExpected && cut.phase() != ConnectionCut.Phase.SERVING;
  }

  /** Starts watching for a disconnect; the listener is called at most once, on any thread. */
  void watch(Runnable listener) {
    synchronized (lock) {
      onDisconnect = listener;
    }
    register();
  }

  /**
   * Looks for a disconnect now, without waiting for the selector; the listener is called on this
   * thread. Does nothing while the connection is not watched.
   */
  void checkDisconnect() {
    Runnable listener = null;
    synchronized (lock) {
      if (onDisconnect != null && mayReadAhead() && !readAhead()) {
        listener = onDisconnect;
        onDisconnect = null;
      }
    }
    if (listener != null) {
      listener.run();
    }
  }

  /**
   * Stops watching; call before the request is completed. The listener is not called after this.
   */
  void unwatch() {
    synchronized (lock) {
      if (onDisconnect == null) {
        return;
      }
      onDisconnect = null;
    }
    getFillInterest().fillable();
  }

  /**
   * Closes the connection when this process fails to read, as for want of memory. The server would
   * take that for the end of what the caller sends, and its request for a malformed one.
   */
  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    try {
      return fillAndNote(buffer);
    } catch (Error failure) {
      close(failure);
      throw failure;
    }
  }

  private int fillAndNote(ByteBuffer buffer) throws IOException {
    int filled = fillFromEither(buffer);
    if (filled > 0) {
      onHeadBytes();
    } else if (filled < 0) {
      onEndOfInput();
    }
    return filled;
  }

  @Override
  public ProgressGuard progress() {
    return progress;
  }

  private int fillFromEither(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      if (refused) {
        return 0;
      }
      if (sideBuffer.hasRemaining()) {
        return BufferUtil.append(buffer, sideBuffer);
      }
      if (endOfInput) {
        return -1;
      }
    }
    if (progress.isExceeded()) {
      throw new IOException("the body of a request goes on without progress");
    }
    if (turn.takeEnd()) {
      return 0;
    }
    int filled = super.fill(buffer);
    turn.add(filled);
    progress.onRead(filled);
    return filled;
  }

  private void onEndOfInput() {
    synchronized (lock) {
      endOfInput = true;
    }
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
   * Records that the head of a request has been read, so that the bytes that follow are its body.
   *
   * @return action to run when the request is completed: later bytes then belong to the head of the
   *     next request. It does nothing when the next request is being served already, since the
   *     server may have read it before it reports the end of this one
   */
  Runnable beginServing() {
    progress.expectMessage();
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
      if (!serving) {
        progress.pause();
      }
    }
  }

  /** Restarts the measurement for a head that is arriving, if one is. */
  void restartHeadTimer() {
    synchronized (lock) {
      headSinceNanos = headSinceNanos == 0 ? 0 : System.nanoTime();
      headChecks = 0;
    }
  }

  /**
   * Counts a check, and returns whether a head has been arriving both for longer than a time and
   * during as many checks as run in it. Time alone is not enough: a stalled process may not have
   * read bytes that were there.
   *
   * @param nanos the time in ns
   * @param checks number of checks that run in it
   */
  boolean checkHeadTimeout(long nanos, long checks) {
    synchronized (lock) {
      headChecks++;
      return headChecks >= checks && headTakesLongerThan(nanos);
    }
  }

  /**
   * Refuses the request whose head is arriving, unless the server has bytes of it to use: a head
   * that has come takes long only because threads of this process do not get to run. From then on
   * the server reads nothing more, so that the refused request is certainly not served.
   *
   * @return whether the request is refused now; the caller of this method answers it and closes
   */
  boolean refuseHead() {
    synchronized (lock) {
      if (refused || serving || headSinceNanos == 0 || !awaitsBytes()) {
        return false;
      }
      refused = true;
      closeExpected = true;
      return true;
    }
  }

  /**
   * Asks the selector to report bytes that come. It does not see those in the side buffer, so that
   * they are reported to the server here, though not to the watch; and nothing is reported of a
   * refused request, which nobody reads.
   */
  @Override
  protected void needsFillInterest() {
    boolean readAhead;
    turn.begin();
    synchronized (lock) {
      if (refused) {
        return;
      }
      readAhead = sideBuffer.hasRemaining() && onDisconnect == null;
    }
    if (readAhead) {
      executor.execute(() -> getFillInterest().fillable());
    } else {
      super.needsFillInterest();
    }
  }

  /** Whether the server has used all bytes that came and waits for more. */
  private boolean awaitsBytes() {
    return getFillInterest().isInterested() && !hasUnreadBytes();
  }

  private boolean hasUnreadBytes() {
    try {
      return getChannel().socket().getInputStream().available() > 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Whether the head of a request has been arriving for longer than a time, in ns. */
  boolean headTakesLongerThan(long nanos) {
    synchronized (lock) {
      return headSinceNanos != 0 && System.nanoTime() - headSinceNanos > nanos;
    }
  }

  /**
   * Registers for readiness to read, unless watching has stopped: the server could then not
   * register to read the next request, since only one registration is possible.
   */
  private void register() {
    synchronized (lock) {
      if (onDisconnect != null && mayReadAhead()) {
        getFillInterest().tryRegister(new Watch());
      }
    }
  }

  /** Whether bytes of next requests still fit; the end of the connection comes behind them. */
  private boolean mayReadAhead() {
    return sideBuffer.remaining() + READ_AHEAD_BYTES <= MAX_SIDE_BUFFER_BYTES;
  }

  private void onReadable() {
    Runnable listener = null;
    synchronized (lock) {
      if (onDisconnect == null) {
        return;
      }
      if (!readAhead()) {
        listener = onDisconnect;
        onDisconnect = null;
      }
    }
    if (listener != null) {
      listener.run();
    } else {
      register();
    }
  }

  /**
   * Reads into the side buffer, behind what it holds.
   *
   * @return false when the caller has closed its side
   */
  private boolean readAhead() {
    ByteBuffer buffer = sideBuffer.hasRemaining() ? newReadAheadBuffer() : emptiedSideBuffer();
    try {
      int read = super.fill(buffer);
      endOfInput = read < 0;
      addToSideBuffer(buffer);
      return read >= 0;
    } catch (IOException e) {
      endOfInput = true;
      return false;
    }
  }

  private static ByteBuffer newReadAheadBuffer() {
    return BufferUtil.allocate(READ_AHEAD_BYTES);
  }

  /** Most reads find nothing, so that the buffer of the read before can take this one. */
  private ByteBuffer emptiedSideBuffer() {
    if (sideBuffer.capacity() < READ_AHEAD_BYTES) {
      sideBuffer = newReadAheadBuffer();
    }
    BufferUtil.clear(sideBuffer);
    return sideBuffer;
  }

  private void addToSideBuffer(ByteBuffer more) {
    if (more != sideBuffer && more.hasRemaining()) {
      ByteBuffer both = BufferUtil.allocate(sideBuffer.remaining() + more.remaining());
      BufferUtil.append(both, sideBuffer);
      BufferUtil.append(both, more);
      sideBuffer = both;
    }
  }

  private void onFailed(Throwable failure) {
    if (failure instanceof TimeoutException) {
      register();
      return;
    }
    Runnable listener;
    synchronized (lock) {
      listener = onDisconnect;
      onDisconnect = null;
    }
    if (listener != null) {
      listener.run();
    }
  }

  /** Callback for readiness to read while a request is served. */
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
