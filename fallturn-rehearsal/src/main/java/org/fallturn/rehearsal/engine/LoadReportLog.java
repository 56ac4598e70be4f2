package org.fallturn.rehearsal.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.port.engine.LoadReport;

/** Past load reports, so that readers get one that is old. Not thread-safe. */
final class LoadReportLog {

  private final long lagNanos;
  private final Deque<Entry> entries = new ArrayDeque<>();

  private record Entry(LoadReport report, long atNanos) {}

  LoadReportLog(long lagNanos) {
    this.lagNanos = lagNanos;
  }

  void add(LoadReport report, long nowNanos) {
    entries.addLast(new Entry(report, nowNanos));
    forgetOld(nowNanos);
  }

  /** The newest report that is at least one lag old, or the oldest there is. */
  LoadReport seenAt(long nowNanos) {
    forgetOld(nowNanos);
    Entry entry = entries.getFirst();
    LoadReport report = entry.report();
    return new LoadReport(
        report.engine(),
        report.incarnation(),
        TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.atNanos()),
        report.runningRequests(),
        report.waitingRequests(),
        report.waitingPromptTokens(),
        report.runningContextTokens(),
        report.generatedTokens(),
        report.prefilledTokens());
  }

  private void forgetOld(long nowNanos) {
    while (entries.size() > 1) {
      Iterator<Entry> fromOldest = entries.iterator();
      fromOldest.next();
      if (nowNanos - fromOldest.next().atNanos() < lagNanos) {
        return;
      }
      entries.removeFirst();
    }
  }
}
