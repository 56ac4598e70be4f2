package org.fallturn.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Numbers of requests that each process of the fleet has counted, by window and tenant: a grow-only
 * counter (G-counter) for each window and tenant.
 *
 * <p>Invariant: the sums that a process publishes only increase, and the highest one received is
 * kept, so that messages may be lost, repeated or late. Windows far from the present one are
 * neither accepted nor kept. Only one thread may call.
 */
public final class UsageLedger {

  /**
   * Number of windows kept before and after the present one. Older windows are past the time at
   * which they are reported.
   */
  private static final int KEPT_WINDOWS = 4;

  private final UsageWindows windows;
  private final Map<Long, Map<Process, Map<String, Integer>>> counts = new HashMap<>();

  private record Process(String node, long incarnation) {
    /**
     * Compares like the generated method, which would create method handles at each start of the
     * process.
     */
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

  /** Creates a ledger without counts. */
  public UsageLedger(UsageWindows windows) {
    this.windows = windows;
  }

  /**
   * Counts one request that began to run.
   *
   * @param node name of the node that ran it
   * @param incarnation incarnation of the node's process
   * @param unixMillis Unix time in ms at which the request began
   */
  public void count(String node, long incarnation, String tenant, long unixMillis) {
    prune(unixMillis);
    of(windows.at(unixMillis), new Process(node, incarnation)).merge(tenant, 1, Integer::sum);
  }

  private Map<String, Integer> of(long window, Process process) {
    return counts
        .computeIfAbsent(window, number -> new HashMap<>())
        .computeIfAbsent(process, one -> new HashMap<>());
  }

  /**
   * Merges the counts that a process published.
   *
   * @param unixMillis present Unix time in ms
   */
  public void onPeerReport(UsageCounts published, long unixMillis) {
    prune(unixMillis);
    Process process = new Process(published.node(), published.incarnation());
    published
        .counts()
        .forEach(
            (window, sums) -> {
              if (isNear(window, unixMillis)) {
                sums.forEach((tenant, sum) -> of(window, process).merge(tenant, sum, Math::max));
              }
            });
  }

  private boolean isNear(long window, long unixMillis) {
    return Math.abs(window - windows.at(unixMillis)) <= KEPT_WINDOWS;
  }

  private void prune(long unixMillis) {
    counts.keySet().removeIf(window -> !isNear(window, unixMillis));
  }

  /** Returns what one process has counted in a window, by tenant. */
  public Map<String, Integer> ofProcess(long window, String node, long incarnation) {
    return Map.copyOf(
        counts
            .getOrDefault(window, Map.of())
            .getOrDefault(new Process(node, incarnation), Map.of()));
  }

  /** Returns the sums over all processes in a window, by tenant. */
  public Map<String, Long> total(long window) {
    Map<String, Long> total = new TreeMap<>();
    for (Map<String, Integer> one : counts.getOrDefault(window, Map.of()).values()) {
      one.forEach((tenant, sum) -> total.merge(tenant, (long) sum, Long::sum));
    }
    return total;
  }
}
