package org.fallturn.rehearsal.load;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.fallturn.core.error.ErrorKind;

/** Counts and times of one class while a load runs. Any thread may call. */
final class ClassStatistics {

  private static final int DIGITS = 3;

  private final String name;
  private final Map<CallEnd, Long> ends = new EnumMap<>(CallEnd.class);
  private final Map<ErrorKind, Long> errors = new EnumMap<>(ErrorKind.class);
  private final Histogram firstToken = new Histogram(DIGITS);
  private final Histogram betweenTokens = new Histogram(DIGITS);
  private final Histogram total = new Histogram(DIGITS);
  private long unsent;
  private long tokens;

  ClassStatistics(String name) {
    this.name = name;
  }

  synchronized void unsent() {
    unsent++;
  }

  synchronized void firstToken(long nanos) {
    firstToken.recordValue(Math.max(0, nanos));
  }

  synchronized void betweenTokens(long nanos) {
    betweenTokens.recordValue(Math.max(0, nanos));
  }

  synchronized void error(ErrorKind kind) {
    errors.merge(kind, 1L, Long::sum);
  }

  synchronized void ended(CallEnd end, long nanos, int tokensReceived) {
    ends.merge(end, 1L, Long::sum);
    if (end == CallEnd.IN_DEADLINE || end == CallEnd.LATE) {
      total.recordValue(Math.max(0, nanos));
      tokens += tokensReceived;
    }
  }

  /** Adds another class's numbers to these. */
  synchronized void add(ClassStatistics other) {
    synchronized (other) {
      other.ends.forEach((end, count) -> ends.merge(end, count, Long::sum));
      other.errors.forEach((kind, count) -> errors.merge(kind, count, Long::sum));
      firstToken.add(other.firstToken);
      betweenTokens.add(other.betweenTokens);
      total.add(other.total);
      unsent += other.unsent;
      tokens += other.tokens;
    }
  }

  synchronized ClassReport report() {
    return new ClassReport(
        name,
        ends.values().stream().mapToLong(Long::longValue).sum(),
        unsent,
        count(CallEnd.IN_DEADLINE) + count(CallEnd.LATE),
        count(CallEnd.IN_DEADLINE),
        count(CallEnd.NOT_RUN),
        count(CallEnd.UNKNOWN),
        count(CallEnd.WRONG),
        count(CallEnd.GIVEN_UP),
        tokens,
        errors,
        Percentiles.of(firstToken),
        Percentiles.of(betweenTokens),
        Percentiles.of(total));
  }

  private long count(CallEnd end) {
    return ends.getOrDefault(end, 0L);
  }
}
