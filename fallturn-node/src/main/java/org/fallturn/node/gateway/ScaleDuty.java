package org.fallturn.node.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.scaling.InitialCounts;
import org.fallturn.core.scaling.ScaleAction;
import org.fallturn.core.scaling.ScaleApi;
import org.fallturn.core.scaling.ScaleOrder;
import org.fallturn.core.usage.DutyOutcome;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that orders engines from the platform, one order at a time, on a thread of its own.
 *
 * <p>Invariant: the duty sends an order only while this node holds the lease, which it checks right
 * before. It hands the outcome to the dispatch duty.
 */
final class ScaleDuty implements AutoCloseable {

  /** A retry can wait: each call has its price, and an engine takes seconds to start. */
  private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Nobody may ever know the counts; each look for them has its price. */
  private static final long PAUSE_WITHOUT_COUNTS_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final DutyContext duty;
  private final InitialCounts initialCounts;
  private final ScaleApi api;
  private final JobThread<ScaleAction> jobs = new JobThread<>("scaling", this::carryOut);

  /** A duty that has not started. */
  ScaleDuty(DutyContext duty, InitialCounts initialCounts, ScaleApi api) {
    this.duty = duty;
    this.initialCounts = initialCounts;
    this.api = api;
  }

  /**
   * Starts the thread.
   *
   * @param faults receives what the duty does not catch
   */
  void start(FaultListener faults) {
    jobs.start(faults);
  }

  /** Offers an action; it is dropped while another one runs or right after a failure. */
  void offer(ScaleAction action) {
    jobs.offer(action);
  }

  private void carryOut(ScaleAction action) throws InterruptedException {
    try {
      if (action instanceof ScaleAction.RecordInitialCounts counts) {
        record(counts);
      } else if (action instanceof ScaleAction.SendOrder send) {
        send(send.order());
      }
    } catch (StoreException e) {
      duty.log().dependencyLost("scaling", e);
      jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
      duty.events().accept(new DispatchEvent.CannotLead());
    }
  }

  /** Takes the lease first, whose row tells since when the store's era has lasted. */
  private void record(ScaleAction.RecordInitialCounts proposed) throws StoreException {
    if (!duty.lease().take()) {
      jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
      return;
    }
    Optional<Map<String, Integer>> agreed = initialCounts.agree(proposed, duty.lease().era());
    if (agreed.isEmpty()) {
      duty.log().initialCountsLost(proposed.service());
      jobs.pause(PAUSE_WITHOUT_COUNTS_NANOS);
      return;
    }
    duty.events().accept(new DispatchEvent.InitialCountsKnown(proposed.service(), agreed.get()));
  }

  private void send(ScaleOrder order) throws StoreException, InterruptedException {
    if (!duty.lease().take() || !duty.lease().held()) {
      jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
      return;
    }
    DutyOutcome outcome = api.scale(order, duty.node(), duty.lease().token());
    duty.log().scaleOrdered(order, duty.lease().token(), outcome);
    duty.events().accept(new DispatchEvent.ScaleOrderAnswered(order, outcome));
  }

  @Override
  public void close() {
    jobs.close();
  }
}
