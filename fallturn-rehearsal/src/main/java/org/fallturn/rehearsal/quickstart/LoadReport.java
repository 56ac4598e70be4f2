package org.fallturn.rehearsal.quickstart;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.fallturn.rehearsal.fleet.CallResult;

/** Counts how calls ended and how long they took. Thread-safe. */
public final class LoadReport {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final int MAX_DETAILS = 20;

  private final long deadlineNanos;
  private final Map<CallResult.Verdict, Integer> verdicts = new EnumMap<>(CallResult.Verdict.class);
  private final Map<String, Integer> details = new TreeMap<>();
  private final Histogram firstToken = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram betweenTokens = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram whole = new Histogram(SIGNIFICANT_DIGITS);
  private int inDeadline;

  /** An empty report; complete calls count as in deadline up to the given time. */
  public LoadReport(Duration deadline) {
    this.deadlineNanos = deadline.toNanos();
  }

  /** Adds one call. */
  public synchronized void add(CallResult result) {
    verdicts.merge(result.verdict(), 1, Integer::sum);
    if (result.verdict() != CallResult.Verdict.COMPLETE) {
      String detail = result.verdict() + " " + result.status() + " " + result.detail();
      if (details.containsKey(detail) || details.size() < MAX_DETAILS) {
        details.merge(detail, 1, Integer::sum);
      }
      return;
    }
    if (result.totalNanos() <= deadlineNanos) {
      inDeadline++;
    }
    whole.recordValue(result.totalNanos());
    if (result.firstTokenNanos() > 0) {
      firstToken.recordValue(result.firstTokenNanos());
      result.gapNanos().forEach(betweenTokens::recordValue);
    }
  }

  /** Calls that ended so. */
  public synchronized int count(CallResult.Verdict verdict) {
    return verdicts.getOrDefault(verdict, 0);
  }

  /** All calls. */
  public synchronized int total() {
    return verdicts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The report as text. */
  public synchronized String text() {
    StringBuilder text = new StringBuilder();
    line(text, "requests", total());
    line(text, "complete", count(CallResult.Verdict.COMPLETE));
    line(text, "in deadline", inDeadline);
    line(text, "not run", count(CallResult.Verdict.NOT_RUN));
    line(text, "unknown", count(CallResult.Verdict.UNKNOWN));
    line(text, "cut", count(CallResult.Verdict.CUT));
    line(text, "wrong", count(CallResult.Verdict.WRONG));
    times(text, "time to first token", firstToken);
    times(text, "time between tokens", betweenTokens);
    times(text, "time to whole answer", whole);
    details.forEach(
        (detail, count) ->
            text.append("  ").append(count).append(" x ").append(detail).append('\n'));
    return text.toString();
  }

  private static void line(StringBuilder text, String name, long value) {
    text.append(String.format(Locale.ROOT, "%-22s %10d%n", name, value));
  }

  private static void times(StringBuilder text, String name, Histogram histogram) {
    if (histogram.getTotalCount() == 0) {
      return;
    }
    text.append(
        String.format(
            Locale.ROOT,
            "%-22s p50 %.1f ms, p95 %.1f ms, p99 %.1f ms%n",
            name,
            histogram.getValueAtPercentile(50) / NANOS_PER_MILLI,
            histogram.getValueAtPercentile(95) / NANOS_PER_MILLI,
            histogram.getValueAtPercentile(99) / NANOS_PER_MILLI));
  }
}
