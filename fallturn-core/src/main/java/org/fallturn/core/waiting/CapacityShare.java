package org.fallturn.core.waiting;

/**
 * This node's share of the room that the engines of a service have.
 *
 * <p>It answers nodes that all hear of room at once: if each let go all that waits with it, they
 * would overfill the engines by as much again. While much is free nobody holds back. Else each node
 * is given its part of the room anew as often as the word of it is renewed, several times over,
 * since most nodes have nothing that waits. One thread calls.
 */
public final class CapacityShare {

  /** Part of the whole room from which on no node holds back. */
  private static final double FREE_PART = 0.3;

  /**
   * How many times over the room is given out while the word of it is renewed once, to nodes of
   * which each has one request that waits; more of them say that others have some too.
   */
  private static final double GIVEN_OVER = 4;

  private double permits;
  private long atNanos;
  private boolean begun;

  /**
   * Takes the room of one request when this node may use it. Less than a whole permit is a chance
   * of one: saved up by many nodes that have nothing to send, whole ones would all be used at once.
   *
   * @param room requests that the engines have room for, as far as it is known
   * @param most requests that they have room for when they have none
   * @param nodes how many nodes share it
   * @param waiting requests that wait at this node, the one that asks included
   * @param renewNanos how long it takes until what others do is known
   * @param draw from 0 to below 1, even over tries
   */
  public boolean take(
      double room,
      double most,
      int nodes,
      int waiting,
      long renewNanos,
      double draw,
      long nowNanos) {
    if (nodes <= 1) {
      return room >= 1;
    }
    if (room >= FREE_PART * most) {
      return true;
    }
    double over = Math.max(1, GIVEN_OVER / Math.max(1, waiting));
    accrue(over * room / nodes, renewNanos, nowNanos);
    boolean taken = draw < permits;
    permits = taken ? Math.max(0, permits - 1) : 0;
    return taken;
  }

  private void accrue(double part, long renewNanos, long nowNanos) {
    if (begun) {
      double elapsed = (double) Math.max(0, nowNanos - atNanos) / renewNanos;
      permits = Math.min(part, permits + part * Math.min(1, elapsed));
    }
    begun = true;
    atNanos = nowNanos;
  }
}
