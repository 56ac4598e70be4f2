package org.fallturn.node.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.stages.StageChange;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that orders engines to change their stage, one at a time, on a thread of its own: takes
 * the lease, lets the other nodes know, asks the engine how it stands and sends the order.
 *
 * <p>Invariant: an order is sent only while the lease is held, which is asked right before. The
 * dispatch duty is told of each step.
 */
final class StageDuty implements AutoCloseable {

  /** In which the other nodes hear that the engine is to be left alone. */
  private static final long TELL_PEERS_MILLIS = 150;

  private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Another node has ordered with a higher number: it goes on, and this one keeps still. */
  private static final long PAUSE_AFTER_FENCED_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final DutyContext duty;
  private final EngineOrders orders;
  private final JobThread<StageChange> jobs = new JobThread<>("stages", this::carryOut);
  private final AtomicInteger abandoned = new AtomicInteger();

  /** A duty that has not begun. */
  StageDuty(DutyContext duty, EngineOrders orders) {
    this.duty = duty;
    this.orders = orders;
  }

  /**
   * Begins.
   *
   * @param faults hears of what the duty does not catch
   */
  void start(FaultListener faults) {
    jobs.start(faults);
  }

  /** Hands a change over; dropped while another is under way or right after a failure. */
  void offer(StageChange change) {
    jobs.offer(change);
  }

  private void carryOut(StageChange change) throws InterruptedException {
    if (!takeLease(change)) {
      jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
      return;
    }
    duty.events().accept(new DispatchEvent.StageChangeBegun(change));
    TimeUnit.MILLISECONDS.sleep(TELL_PEERS_MILLIS);
    Optional<EngineReport> report =
        orders
            .report(change.engine())
            .filter(state -> !state.busy() && state.stage() != change.stage())
            .filter(state -> !change.engine().isOtherIncarnation(state.bornMillis()));
    if (report.isEmpty() || !duty.lease().held()) {
      abandon(change, report.isEmpty() ? "the engine is not fit" : "the lease has ended");
      return;
    }
    StageOrder order =
        new StageOrder(change.stage(), duty.node(), duty.lease().token(), report.get().sequence());
    settle(change, order, orders.send(change.engine(), order));
  }

  private boolean takeLease(StageChange change) {
    try {
      if (duty.lease().take()) {
        return true;
      }
      giveUp(change, "another node has the lease");
    } catch (StoreException e) {
      giveUp(change, "no lease: " + e.getMessage());
      duty.events().accept(new DispatchEvent.CannotLead());
    }
    return false;
  }

  private void giveUp(StageChange change, String reason) {
    abandoned.incrementAndGet();
    duty.log().stageChangeAbandoned(change, reason);
  }

  /** How many changes were given up before their order was sent; any thread may call. */
  int abandoned() {
    return abandoned.get();
  }

  private void settle(StageChange change, StageOrder order, OptionalInt status) {
    duty.log().stageOrdered(change, order, status.orElse(0));
    if (status.isEmpty()) {
      duty.events().accept(new DispatchEvent.StageOrderUnanswered(change));
      return;
    }
    switch (status.getAsInt()) {
      case HttpStatus.OK_200, HttpStatus.ACCEPTED_202 -> {
        return;
      }
      case HttpStatus.PRECONDITION_FAILED_412 -> {
        duty.lease().drop();
        jobs.pause(PAUSE_AFTER_FENCED_NANOS);
      }
      default -> jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
    }
    duty.events().accept(new DispatchEvent.StageChangeAbandoned(change));
  }

  private void abandon(StageChange change, String reason) {
    giveUp(change, reason);
    duty.events().accept(new DispatchEvent.StageChangeAbandoned(change));
    jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
  }

  @Override
  public void close() {
    jobs.close();
  }
}
