package org.fallturn.node.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.usage.DutyOutcome;
import org.fallturn.core.usage.UsageApi;
import org.fallturn.core.usage.UsageReport;
import org.fallturn.core.usage.UsageStore;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that reports usage, one window at a time, on a thread of its own: takes the lease, fixes
 * the counts in the store, and tells the platform.
 *
 * <p>Invariants: a report is sent only while the lease is held, which is asked right before, and
 * only with the counts that the store holds for its window, so that no two reports of a window
 * differ, whoever sends them and however late they are carried out.
 */
final class UsageDuty implements AutoCloseable {

  /** Calls have their price, and a report has some 7 s. */
  private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** So long one node tries in vain before it lets another: half of what a report has. */
  private static final long STEP_ASIDE_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final DutyContext duty;
  private final UsageStore store;
  private final UsageApi api;
  private final JobThread<UsageReport> jobs = new JobThread<>("usage", this::carryOut);
  private long failingSinceNanos;
  private boolean failing;

  /** A duty that has not begun. */
  UsageDuty(DutyContext duty, UsageStore store, UsageApi api) {
    this.duty = duty;
    this.store = store;
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

  /** Hands a report over; dropped while another is under way or right after a failure. */
  void offer(UsageReport report) {
    jobs.offer(report);
  }

  private void carryOut(UsageReport proposed) throws InterruptedException {
    try {
      if (!duty.lease().take()) {
        failed(proposed, "another node has the lease");
        return;
      }
      Optional<UsageReport> fixed = store.fix(proposed);
      if (fixed.isEmpty()) {
        done(proposed, DutyOutcome.FENCED);
      } else if (duty.lease().held()) {
        settle(fixed.get(), api.report(fixed.get(), duty.node(), duty.lease().token()));
      } else {
        failed(proposed, "the lease has ended");
      }
    } catch (StoreException e) {
      failed(proposed, "no lease or no counts: " + e.getMessage());
      duty.events().accept(new DispatchEvent.CannotLead());
    }
  }

  private void settle(UsageReport report, DutyOutcome outcome) {
    switch (outcome) {
      case TAKEN -> done(report, outcome);
      case FENCED -> {
        duty.lease().drop();
        failed(report, "another node has reported since");
        duty.events().accept(new DispatchEvent.CannotLead());
      }
      default -> {
        failed(report, "the platform: " + outcome);
        stepAsideWhenInVain();
      }
    }
  }

  private void done(UsageReport report, DutyOutcome outcome) {
    failing = false;
    duty.log().usageReported(report, duty.lease().token(), outcome);
    duty.events().accept(new DispatchEvent.UsageReported(report.window()));
  }

  private void failed(UsageReport report, String reason) {
    if (!failing) {
      failing = true;
      failingSinceNanos = System.nanoTime();
    }
    duty.log().usageNotReported(report, reason);
    jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
  }

  /** The platform may answer other nodes. */
  private void stepAsideWhenInVain() {
    if (System.nanoTime() - failingSinceNanos >= STEP_ASIDE_NANOS) {
      failing = false;
      duty.events().accept(new DispatchEvent.CannotLead());
    }
  }

  @Override
  public void close() {
    jobs.close();
  }
}
