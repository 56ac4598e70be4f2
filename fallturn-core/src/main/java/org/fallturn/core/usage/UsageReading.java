package org.fallturn.core.usage;

import java.util.Optional;
import org.fallturn.core.port.feed.StorePosition;

/**
 * Result of reading the row that holds the counts of a window.
 *
 * @param row content of the row, which may be of another window, since windows use a fixed number
 *     of rows in turn; empty when there is none
 * @param position position at which the row was written, whose version a write must name; version 0
 *     when it is absent
 */
public record UsageReading(Optional<FixedUsage> row, StorePosition position) {

  /** Returns the counts in the row if they are those of a window. */
  Optional<FixedUsage> ofWindow(long window) {
    return row.filter(fixed -> fixed.report().window() == window);
  }

  /** Returns whether a later window has overwritten the row. */
  boolean isOfLaterWindowThan(long window) {
    return row.filter(fixed -> fixed.report().window() > window).isPresent();
  }
}
