package org.fallturn.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What each process of the fleet has counted, by window and tenant.
 *
 * <p>Invariant: a process tells sums that only rise, and the highest that was told counts, so that
 * messages may be lost, repeated or late. Windows far from the present are neither taken nor kept.
 * One thread calls.
 */
public final class UsageLedger {

  /** Windows before and after the present one that are kept: older ones are past their report. */
  private static final int KEPT_WINDOWS = 4;

  private final UsageWindows windows;
  private final Map<Long, Map<Process, Map<String, Integer>>> counts = new HashMap<>();

  private record Process(String node, long incarnation) {
    /** As a record would, without the method handles whose making each start would pay. */
    @Override
    public boolean equals(Object other) {
      return other instanceof Process that
          && incarnation == that.incarnation
          && node.equals(that.node);
    }

    @Override
    public int hashCode() {
      return 31 * node.hashCode() + Long.hashCode(incarnation);
    }
  }

  /** A ledger without counts. */
  public UsageLedger(UsageWindows windows) {
    this.windows = windows;
  }

  /** A request of a tenant began to run at a node. */
  public void count(String node, long incarnation, String tenant, long unixMillis) {
    prune(unixMillis);
    of(windows.at(unixMillis), new Process(node, incarnation)).merge(tenant, 1, Integer::sum);
  }

  private Map<String, Integer> of(long window, Process process) {
    return counts
        .computeIfAbsent(window, number -> new HashMap<>())
        .computeIfAbsent(process, one -> new HashMap<>());
  }

  /** A process told what it has counted. */
  public void onPeerReport(UsageCounts news, long unixMillis) {
    prune(unixMillis);
    Process process = new Process(news.node(), news.incarnation());
    news.counts()
        .forEach(
            (window, told) -> {
              if (isNear(window, unixMillis)) {
                told.forEach((tenant, sum) -> of(window, process).merge(tenant, sum, Math::max));
              }
            });
  }

  private boolean isNear(long window, long unixMillis) {
    return Math.abs(window - windows.at(unixMillis)) <= KEPT_WINDOWS;
  }

  private void prune(long unixMillis) {
    counts.keySet().removeIf(window -> !isNear(window, unixMillis));
  }

  /** What one process has counted in a window. */
  public Map<String, Integer> ofProcess(long window, String node, long incarnation) {
    return Map.copyOf(
        counts
            .getOrDefault(window, Map.of())
            .getOrDefault(new Process(node, incarnation), Map.of()));
  }

  /** What all processes have counted in a window, by tenant. */
  public Map<String, Long> total(long window) {
    Map<String, Long> total = new TreeMap<>();
    for (Map<String, Integer> one : counts.getOrDefault(window, Map.of()).values()) {
      one.forEach((tenant, sum) -> total.merge(tenant, (long) sum, Long::sum));
    }
    return total;
  }
}
