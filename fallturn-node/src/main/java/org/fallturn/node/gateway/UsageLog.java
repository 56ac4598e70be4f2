package org.fallturn.node.gateway;

import org.fallturn.core.usage.DutyOutcome;
import org.fallturn.core.usage.UsageReport;

/** The log lines about reports of the tenants' usage. Thread-safe. */
final class UsageLog {

  private final DecisionLog log;

  UsageLog(DecisionLog log) {
    this.log = log;
  }

  void reported(UsageReport report, long fencingToken, DutyOutcome outcome) {
    log.line(LogEvent.USAGE_REPORTED, outcome.name())
        .addKeyValue("window", report.window())
        .addKeyValue("tenants", report.counts().size())
        .addKeyValue("requests", report.counts().values().stream().mapToLong(one -> one).sum())
        .addKeyValue("fencingToken", fencingToken)
        .addKeyValue("outcome", outcome)
        .log();
  }

  void skipped(UsageReport proposed) {
    log.line(LogEvent.USAGE_SKIPPED, "").addKeyValue("window", proposed.window()).log();
  }

  void notReported(UsageReport report, String reason) {
    log.line(LogEvent.USAGE_NOT_REPORTED, "")
        .addKeyValue("window", report.window())
        .addKeyValue("reason", reason)
        .log();
  }
}
