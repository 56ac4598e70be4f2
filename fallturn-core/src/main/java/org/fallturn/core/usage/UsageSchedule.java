package org.fallturn.core.usage;

import java.util.OptionalLong;

/**
 * Decides which window is reported next, and when. A window is reported some time after its end,
 * when the counts of the other nodes have arrived. A window is skipped once its report is overdue,
 * since a late report is worth nothing.
 *
 * <p>Invariant: windows are reported in order, and never again once done. Only one thread may call.
 */
public final class UsageSchedule {

  private final UsageWindows windows;
  private long next;

  /**
   * Creates the schedule at the start of the process.
   *
   * @param firstStart whether the whole system starts for the first time, so that no window before
   *     the present one can contain counts
   * @param unixMillis present Unix time in ms
   */
  public UsageSchedule(UsageWindows windows, boolean firstStart, long unixMillis) {
    this.windows = windows;
    this.next =
        firstStart
            ? windows.at(unixMillis)
            : windows.at(unixMillis - windows.late().toMillis()) - 1;
  }

  /** Returns the window to report now, if any; the same one until it is done or skipped. */
  public OptionalLong due(long unixMillis) {
    while (unixMillis >= windows.overdueMillis(next)) {
      next++;
    }
    boolean settled = unixMillis >= windows.settledMillis(next);
    return settled ? OptionalLong.of(next) : OptionalLong.empty();
  }

  /** Marks a window as reported, by this node or another. */
  public void onDone(long window) {
    next = Math.max(next, window + 1);
  }
}
