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
 * The duty that orders engines to change their stage, one at a time, on a thread of its own. It
 * takes the lease, gives the other nodes time to hear of the change, asks the engine for its
 * report, and sends the order.
 *
 * <p>Invariant: the duty sends an order only while this node holds the lease, which it checks right
 * before. It hands an event of each step to the dispatch duty.
 */
final class StageDuty implements AutoCloseable {

  /** Pause before an order, in which the other nodes hear that they are not to use the engine. */
  private static final long NOTIFY_PEERS_MILLIS = 150;

  private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Pause after an engine has refused an order because another node's had a higher fencing token:
   * that node goes on ordering, and this one stops for a while.
   */
  private static final long PAUSE_AFTER_FENCED_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final DutyContext duty;
  private final EngineOrders orders;
  private final JobThread<StageChange> jobs = new JobThread<>("stages", this::carryOut);
  private final AtomicInteger abandoned = new AtomicInteger();

  /** A duty that has not started. */
  StageDuty(DutyContext duty, EngineOrders orders) {
    this.duty = duty;
    this.orders = orders;
  }

  /**
   * Starts the thread.
   *
   * @param faults receives what the duty does not catch
   */
  void start(FaultListener faults) {
    jobs.start(faults);
  }

  /** Offers a change; it is dropped while another one runs or right after a failure. */
  void offer(StageChange change) {
    jobs.offer(change);
  }

  private void carryOut(StageChange change) throws InterruptedException {
    if (!takeLease(change)) {
      jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
      return;
    }
    duty.events().accept(new DispatchEvent.StageChangeBegun(change));
    TimeUnit.MILLISECONDS.sleep(NOTIFY_PEERS_MILLIS);
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
    onAnswer(change, order, orders.send(change.engine(), order));
  }

  private boolean takeLease(StageChange change) {
    try {
      if (duty.lease().take()) {
        return true;
      }
      countAbandoned(change, "another node has the lease");
    } catch (StoreException e) {
      countAbandoned(change, "no lease: " + e.getMessage());
      duty.events().accept(new DispatchEvent.CannotLead());
    }
    return false;
  }

  private void countAbandoned(StageChange change, String reason) {
    abandoned.incrementAndGet();
    duty.log().stageChangeAbandoned(change, reason);
  }

  /** Returns how many changes were abandoned before their order was sent; any thread may call. */
  int abandoned() {
    return abandoned.get();
  }

  private void onAnswer(StageChange change, StageOrder order, OptionalInt status) {
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
    countAbandoned(change, reason);
    duty.events().accept(new DispatchEvent.StageChangeAbandoned(change));
    jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
  }

  @Override
  public void close() {
    jobs.close();
  }
}
