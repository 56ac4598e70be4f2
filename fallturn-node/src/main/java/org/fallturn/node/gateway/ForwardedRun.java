package org.fallturn.node.gateway;

import java.net.ConnectException;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Finds out when a request that another node sends for this one has ended at its engine. Where the
 * other node's answer does not tell, the request is cancelled there, again and again until that is
 * confirmed, or until the other node's lease is over and it does not say that its engine works on.
 *
 * <p>Invariant: whoever waits for the end is told once, and not before the other node has closed
 * its connection to the engine and the engine has left the request as far as that node can tell,
 * unless that node was suspended or is gone. Thread-safe.
 */
final class ForwardedRun {

  private static final long CANCEL_TIMEOUT_MILLIS = 500;
  private static final long PAUSE_MILLIS = 50;

  /** The word that an engine works on holds until the next call has had time for an answer. */
  private static final long WORD_HOLDS_NANOS =
      TimeUnit.MILLISECONDS.toNanos(CANCEL_TIMEOUT_MILLIS + 2 * PAUSE_MILLIS);

  private final Supplier<Request> cancellations;
  private final LongSupplier endLease;
  private final Scheduler scheduler;
  private final CompletableFuture<RunEnd> over = new CompletableFuture<>();
  private volatile OptionalLong runningUntilNanos = OptionalLong.empty();

  /**
   * A request that has not ended.
   *
   * @param cancellations prepares a call that cancels the request, and is answered once it has
   *     ended
   * @param endLease ends the lease here; returns when it is over there at the latest, in nanoTime
   */
  ForwardedRun(Supplier<Request> cancellations, LongSupplier endLease, Scheduler scheduler) {
    this.cancellations = cancellations;
    this.endLease = endLease;
    this.scheduler = scheduler;
  }

  /**
   * The call to the other node has ended.
   *
   * @param known how the run is known to be over; {@link RunEnd#CONNECTION_ENDED} tells nothing of
   *     the connection behind the other node
   */
  void onCallEnded(RunEnd known) {
    long leaseEnd = endLease.getAsLong();
    if (known != RunEnd.CONNECTION_ENDED) {
      over.complete(known);
      return;
    }
    endWith(leaseEnd);
    cancel();
  }

  /** Ends the run at some time, unless the other node has said by then that its engine works on. */
  private void endWith(long nanos) {
    long left = Math.max(0, nanos - System.nanoTime());
    scheduler.schedule(this::endUnlessRunning, left, TimeUnit.NANOSECONDS);
  }

  private void endUnlessRunning() {
    OptionalLong told = runningUntilNanos;
    if (told.isPresent() && told.getAsLong() - System.nanoTime() > 0) {
      endWith(told.getAsLong());
    } else {
      over.complete(RunEnd.LEASE_OVER);
    }
  }

  private void cancel() {
    cancellations
        .get()
        .timeout(CANCEL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(this::onCancellationEnded);
  }

  private void onCancellationEnded(Result result) {
    int status = result.isSucceeded() ? result.getResponse().getStatus() : 0;
    if (status == HttpStatus.ACCEPTED_202) {
      runningUntilNanos = OptionalLong.of(System.nanoTime() + WORD_HOLDS_NANOS);
    }
    if (status == HttpStatus.OK_200) {
      over.complete(RunEnd.FORWARDER_CONFIRMED);
    } else if (result.getFailure() instanceof ConnectException) {
      over.complete(RunEnd.FORWARDER_GONE);
    } else if (!over.isDone()) {
      scheduler.schedule(this::cancelAgain, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void cancelAgain() {
    if (!over.isDone()) {
      cancel();
    }
  }

  /** Calls an action once the run is over, on whichever thread finds that out. */
  void whenOver(Consumer<RunEnd> action) {
    over.thenAccept(action);
  }
}
