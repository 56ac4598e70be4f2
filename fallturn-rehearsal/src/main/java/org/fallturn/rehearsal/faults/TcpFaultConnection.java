package org.fallturn.rehearsal.faults;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One forwarded connection: a thread copies each direction through one small buffer, so that a slow
 * reader slows the writer down. {@link #run()} returns when both directions have ended. Bytes that
 * stood still are dropped when the sender has reset its connection meanwhile, as a network does
 * whose sender no longer repeats them.
 */
final class TcpFaultConnection {

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int CONNECT_TIMEOUT_MILLIS = 5_000;
  private static final long HOLD_CHECK_MILLIS = 200;

  private final Socket caller;
  private final Socket server = new Socket();
  private final NetworkAddress target;
  private final Optional<String> sourceHost;
  private final Supplier<LinkFaults> current;
  private final FaultTable changes;
  private final CountDownLatch bothDirections = new CountDownLatch(2);
  private boolean stoodAtBegin;
  private volatile boolean aborted;

  TcpFaultConnection(
      Socket caller,
      NetworkAddress target,
      Optional<String> sourceHost,
      Supplier<LinkFaults> current,
      FaultTable changes) {
    this.caller = caller;
    this.target = target;
    this.sourceHost = sourceHost;
    this.current = current;
    this.changes = changes;
  }

  void run() {
    try {
      caller.setTcpNoDelay(true);
      stoodAtBegin = awaitFlow(true);
      server.setTcpNoDelay(true);
      if (sourceHost.isPresent()) {
        server.bind(new InetSocketAddress(sourceHost.get(), 0));
      }
      server.connect(new InetSocketAddress(target.host(), target.port()), CONNECT_TIMEOUT_MILLIS);
      FaultThreads.start("fault-back", () -> copy(server, caller, false));
      copy(caller, server, true);
      bothDirections.await();
    } catch (IOException e) {
      abort();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      abort();
    }
    close(caller);
    close(server);
  }

  /** Bytes that came before a reset are still read after it; a link that stood still drops them. */
  private void copy(Socket from, Socket to, boolean forward) {
    byte[] buffer = new byte[BUFFER_BYTES];
    long carried = 0;
    try {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        delay();
        boolean stood = awaitFlow(forward) || forward && carried == 0 && stoodAtBegin;
        ByteArrayOutputStream come = new ByteArrayOutputStream();
        come.write(buffer, 0, count);
        if (stood) {
          readToReset(from, input, come);
        }
        int allowed = forward ? come.size() : allowed(carried, come.size());
        output.write(come.toByteArray(), 0, allowed);
        carried += allowed;
        if (allowed < come.size()) {
          abort();
          return;
        }
      }
      awaitFlow(forward);
      to.shutdownOutput();
    } catch (IOException e) {
      abort();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      abort();
    } finally {
      bothDirections.countDown();
    }
  }

  private int allowed(long carried, int count) {
    long limit = current.get().resetAfterBytes();
    return limit == 0 ? count : (int) Math.max(0, Math.min(count, limit - carried));
  }

  private void delay() throws InterruptedException {
    long millis = current.get().delayMillis();
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  /** Waits while this direction stands still; returns whether it did. */
  private boolean awaitFlow(boolean forward) throws InterruptedException {
    boolean stood = false;
    while (!aborted && held(forward)) {
      stood = true;
      changes.awaitChange(HOLD_CHECK_MILLIS);
    }
    return stood;
  }

  /**
   * Reads what else has come on a socket so far; fails if the sender has reset the connection,
   * which shows only behind all that came before.
   */
  private static void readToReset(Socket from, InputStream input, ByteArrayOutputStream come)
      throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    from.setSoTimeout(1);
    try {
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        come.write(buffer, 0, count);
      }
    } catch (SocketTimeoutException e) {
      // Nothing more has come, a reset neither.
      return;
    } finally {
      from.setSoTimeout(0);
    }
  }

  private boolean held(boolean forward) {
    LinkFaults faults = current.get();
    return forward ? faults.holdForward() : faults.holdBackward();
  }

  void resetWhenCut() {
    if (current.get().cut()) {
      abort();
    }
  }

  /** Resets both sides. */
  void abort() {
    aborted = true;
    reset(caller);
    reset(server);
  }

  /** Closes a socket so that its peer sees a reset. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The socket is closed already, which is what is wanted.
      return;
    }
    close(socket);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to do with a socket that cannot even be closed.
      return;
    }
  }
}
