package org.fallturn.core.port.engine;

import org.fallturn.core.domain.Epoch;

/**
 * Position of an order in a pool's stream of orders. An engine takes an order only when its number
 * is above the highest it has acknowledged, comparing epoch first, then sequence.
 *
 * @param epoch the leadership that sent the order
 * @param sequence rising within the epoch, from 1; 0 is the raised fence itself
 */
public record OrderNumber(Epoch epoch, long sequence) implements Comparable<OrderNumber> {

  /** Below every order. */
  public static final OrderNumber NONE = new OrderNumber(Epoch.NONE, 0);

  @Override
  public int compareTo(OrderNumber other) {
    int byEpoch = epoch.compareTo(other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
  }
}
