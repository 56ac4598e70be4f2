package org.fallturn.node.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.usage.DutyOutcome;
import org.fallturn.core.usage.UsageAgreement;
import org.fallturn.core.usage.UsageApi;
import org.fallturn.core.usage.UsageReport;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that reports usage to the platform, one window at a time, on a thread of its own. It
 * takes the lease, agrees with the other nodes on the counts of the window, and sends the report.
 *
 * <p>Invariants: the duty sends a report only while this node holds the lease, which it checks
 * right before, and only with the counts that were agreed on for the window. So no two reports of a
 * window differ, whichever node sends them and however late they take effect.
 */
final class UsageDuty implements AutoCloseable {

  /** Each call has its price, and there are some 7 s to deliver a report. */
  private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * How long one node retries before it lets another one try: half of the time that there is to
   * deliver a report.
   */
  private static final long STEP_ASIDE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final DutyContext duty;
  private final UsageAgreement agreement;
  private final UsageApi api;
  private final UsageLog log;
  private final JobThread<UsageReport> jobs = new JobThread<>("usage", this::carryOut);
  private long failingSinceNanos;
  private boolean failing;

  /** A duty that has not started. */
  UsageDuty(DutyContext duty, UsageAgreement agreement, UsageApi api) {
    this.duty = duty;
    this.agreement = agreement;
    this.api = api;
    this.log = new UsageLog(duty.log());
  }

  /**
   * Starts the thread.
   *
   * @param faults receives what the duty does not catch
   */
  void start(FaultListener faults) {
    jobs.start(faults);
  }

  /** Offers a report; it is dropped while another one runs or right after a failure. */
  void offer(UsageReport report) {
    jobs.offer(report);
  }

  private void carryOut(UsageReport proposed) throws InterruptedException {
    try {
      if (!duty.lease().take()) {
        failed(proposed, "another node has the lease");
        return;
      }
      Optional<UsageReport> agreed = agreement.agree(proposed, duty.lease().era());
      if (agreed.isEmpty()) {
        skip(proposed);
      } else if (duty.lease().held()) {
        onAnswer(agreed.get(), api.report(agreed.get(), duty.node(), duty.lease().token()));
      } else {
        failed(proposed, "the lease has ended");
      }
    } catch (StoreException e) {
      failed(proposed, "no lease or no counts: " + e.getMessage());
      duty.events().accept(new DispatchEvent.CannotLead());
    }
  }

  private void onAnswer(UsageReport report, DutyOutcome outcome) {
    switch (outcome) {
      case TAKEN -> done(report, outcome);
      case FENCED -> {
        duty.lease().drop();
        failed(report, "another node has reported since");
        duty.events().accept(new DispatchEvent.CannotLead());
      }
      default -> {
        failed(report, "the platform: " + outcome);
        stepAsideIfFailingLong();
      }
    }
  }

  private void done(UsageReport report, DutyOutcome outcome) {
    failing = false;
    log.reported(report, duty.lease().token(), outcome);
    duty.events().accept(new DispatchEvent.UsageDone(report.window()));
  }

  /** Another node may have reported the window with counts that nobody here knows. */
  private void skip(UsageReport proposed) {
    failing = false;
    log.skipped(proposed);
    duty.events().accept(new DispatchEvent.UsageDone(proposed.window()));
  }

  private void failed(UsageReport report, String reason) {
    if (!failing) {
      failing = true;
      failingSinceNanos = System.nanoTime();
    }
    log.notReported(report, reason);
    jobs.pause(PAUSE_AFTER_FAILURE_NANOS);
  }

  /** Lets another node lead when reports have failed for long: the platform may answer that one. */
  private void stepAsideIfFailingLong() {
    if (System.nanoTime() - failingSinceNanos >= STEP_ASIDE_AFTER_NANOS) {
      failing = false;
      duty.events().accept(new DispatchEvent.CannotLead());
    }
  }

  @Override
  public void close() {
    jobs.close();
  }
}
