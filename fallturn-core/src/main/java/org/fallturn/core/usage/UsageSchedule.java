package org.fallturn.core.usage;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Which window is to be reported next, and when. A window is reported a while after its end, once
 * what other nodes have counted has been told; one whose report is long overdue is left out.
 *
 * <p>Invariant: windows come in order, and one that was done never again. One thread calls.
 */
public final class UsageSchedule {

  /**
   * After the end of a window: requests that ended at once were counted by then, each node has told
   * its sums twice more, and enough time is left for another node to take over, which takes 6 s.
   */
  private static final Duration SETTLE = Duration.ofMillis(2_600);

  private final UsageWindows windows;
  private long next;

  /**
   * A schedule that begins with the process.
   *
   * @param firstStart whether no window before the present one can hold anything
   */
  public UsageSchedule(UsageWindows windows, boolean firstStart, long unixMillis) {
    this.windows = windows;
    this.next =
        firstStart
            ? windows.at(unixMillis)
            : windows.at(unixMillis - windows.late().toMillis()) - 1;
  }

  /** The window to be reported now, if any; the same until it is done. */
  public OptionalLong due(long unixMillis) {
    while (unixMillis >= windows.dueMillis(next) + windows.length().toMillis()) {
      next++;
    }
    boolean settled = unixMillis >= windows.endMillis(next) + SETTLE.toMillis();
    return settled ? OptionalLong.of(next) : OptionalLong.empty();
  }

  /** A window was reported, by this node or another. */
  public void onDone(long window) {
    next = Math.max(next, window + 1);
  }
}
