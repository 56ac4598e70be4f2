package org.fallturn.core.limits;

/**
 * The state of a shared budget that nodes send to each other. Digests of several nodes add up
 * component by component. Immutable.
 *
 * @param nodes number of nodes that this digest sums up
 * @param requests requests that these nodes received within the last window
 * @param used units of the budget that they took within the last window
 * @param wanted units that they recently tried to take, whether or not they got them
 * @param kept units that they may still take from their own parts, whatever others want; in
 *     hundredths of a unit
 */
public record BudgetDigest(int nodes, int requests, int used, int wanted, int kept) {

  /** The digest of no nodes. */
  public static final BudgetDigest NONE = new BudgetDigest(0, 0, 0, 0, 0);

  /**
   * Returns whether any node has taken or wants a unit. Otherwise no other node needs to report.
   */
  public boolean inUse() {
    return used > 0 || wanted > 0;
  }

  /** Returns the sum of this digest and another one. */
  public BudgetDigest plus(BudgetDigest other) {
    return new BudgetDigest(
        nodes + other.nodes,
        requests + other.requests,
        used + other.used,
        wanted + other.wanted,
        kept + other.kept);
  }
}
