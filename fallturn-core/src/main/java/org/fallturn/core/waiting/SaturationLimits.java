package org.fallturn.core.waiting;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * With how many requests engines were full when they turned one away. A mark rises again with time,
 * since what others had there was known only roughly, and an engine may have become faster. One
 * thread calls.
 */
public final class SaturationLimits {

  /** Less than was there when it was full, since the others' part of it is old. */
  private static final double SAFE_PART = 0.9;

  /** A mark rises by a tenth a second, so that a wrong one costs room for seconds only. */
  private static final double RISE_PER_NANO = 0.1 / TimeUnit.SECONDS.toNanos(1);

  private final Map<String, Mark> marks = new HashMap<>();

  private record Mark(double requests, long atNanos) {

    double at(long nowNanos) {
      return requests * (1 + RISE_PER_NANO * Math.max(0, nowNanos - atNanos));
    }
  }

  /**
   * An engine turned a request away.
   *
   * @param present requests that were there as far as it was known
   * @param slots requests that it works on; one that has fewer did not turn it away for being full
   */
  public void onRejection(String engineId, int present, int slots, long nowNanos) {
    if (present >= slots) {
      marks.put(engineId, new Mark(Math.max(slots, SAFE_PART * present), nowNanos));
    }
  }

  /** The most requests that it should be given; no bound for one that turned none away. */
  public double most(String engineId, long nowNanos) {
    Mark mark = marks.get(engineId);
    return mark == null ? Double.POSITIVE_INFINITY : mark.at(nowNanos);
  }

  /** Forgets engines that are gone. */
  public void retain(Set<String> engineIds) {
    marks.keySet().retainAll(engineIds);
  }
}
