package org.fallturn.node.gateway;

import java.net.ConnectException;
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
 * confirmed or the other node's lease is over.
 *
 * <p>Invariant: whoever waits for the end is told once, and not before the other node has closed
 * its connection to the engine, unless that node was suspended. Thread-safe.
 */
final class ForwardedRun {

  private static final long CANCEL_TIMEOUT_MILLIS = 500;
  private static final long PAUSE_MILLIS = 50;

  private final Supplier<Request> cancellations;
  private final LongSupplier endLease;
  private final Scheduler scheduler;
  private final CompletableFuture<RunEnd> over = new CompletableFuture<>();

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
    long left = Math.max(0, leaseEnd - System.nanoTime());
    scheduler.schedule(() -> over.complete(RunEnd.LEASE_OVER), left, TimeUnit.NANOSECONDS);
    cancel();
  }

  private void cancel() {
    cancellations
        .get()
        .timeout(CANCEL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(this::onCancellationEnded);
  }

  private void onCancellationEnded(Result result) {
    if (result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200) {
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
