package org.fallturn.node.gateway;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.scaling.InitialCountsStore;
import org.fallturn.core.scaling.ScaleAction;
import org.fallturn.core.scaling.ScaleApi;
import org.fallturn.core.scaling.ScaleOrder;
import org.fallturn.core.usage.DutyOutcome;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that orders engines from the platform, one order at a time, on a thread of its own.
 *
 * <p>Invariant: an order is sent only while the lease is held, which is asked right before. The
 * dispatch duty is told what became of it.
 */
final class ScaleDuty implements AutoCloseable {

  /** Calls have their price, and an engine takes seconds to start. */
  private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final DutyContext duty;
  private final InitialCountsStore standing;
  private final ScaleApi api;
  private final JobThread<ScaleAction> jobs = new JobThread<>("scaling", this::carryOut);

  /** A duty that has not begun. */
  ScaleDuty(DutyContext duty, InitialCountsStore standing, ScaleApi api) {
    this.duty = duty;
    this.standing = standing;
    this.api = api;
  }

  /**
   * Begins.
   *
   * @param faults hears of what the duty does not catch
   */
  void start(FaultListener faults) {
    jobs.start(faults);
  }

  /** Hands a wish over; dropped while another is under way or right after a failure. */
  void offer(ScaleAction wish) {
    jobs.offer(wish);
  }

  private void carryOut(ScaleAction wish) throws InterruptedException {
    try {
      if (wish instanceof ScaleAction.RecordInitialCounts fix) {
        Map<String, Integer> fixed = standing.fix(fix.service(), fix.observed());
        duty.events().accept(new DispatchEvent.InitialCountsKnown(fix.service(), fixed));
      } else if (wish instanceof ScaleAction.SendOrder give) {
        give(give.order());
      }
    } catch (StoreException e) {
      duty.log().dependencyLost("scaling", e);
      jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
      duty.events().accept(new DispatchEvent.CannotLead());
    }
  }

  private void give(ScaleOrder order) throws StoreException, InterruptedException {
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
