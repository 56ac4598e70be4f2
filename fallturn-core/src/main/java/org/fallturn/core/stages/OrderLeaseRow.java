package org.fallturn.core.stages;

import java.util.OptionalLong;

/**
 * Row of the store that records which node may give orders.
 *
 * @param holder name of the node; a node keeps its name when it restarts
 * @param untilMillis end of the lease in ms on the store's steady clock
 * @param era era of the store in which the lease was taken; 0 in a row of a build that writes none
 * @param eraSinceMillis time on the store's steady clock by which that era had begun; empty in a
 *     row of a build that writes none
 */
public record OrderLeaseRow(
    String holder, long untilMillis, long era, OptionalLong eraSinceMillis) {

  /** Creates a row that does not tell since when the era has lasted. */
  public OrderLeaseRow(String holder, long untilMillis, long era) {
    this(holder, untilMillis, era, OptionalLong.empty());
  }
}
