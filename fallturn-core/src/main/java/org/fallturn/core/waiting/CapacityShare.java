package org.fallturn.core.waiting;

/**
 * This node's share of the free capacity of a service's engines.
 *
 * <p>All nodes learn of free capacity at the same time. If each sent everything that waits with it,
 * together they would send about twice as much as the engines have capacity for. While much
 * capacity is free, no node holds back. Otherwise each node is granted its part of the free
 * capacity once per update of the load reports. The grants add up to several times the free
 * capacity, since most nodes have no waiting requests. One thread calls.
 */
public final class CapacityShare {

  /** Share of the total capacity from which on no node holds back. */
  private static final double FREE_SHARE = 0.3;

  /**
   * How many times over the free capacity is granted per update of the load reports, to nodes with
   * one waiting request each. A node with more waiting requests uses a smaller factor, since others
   * then probably have some too.
   */
  private static final double OVERCOMMIT = 4;

  private double permits;
  private long atNanos;
  private boolean started;

  /**
   * Takes capacity for one request if this node may use it.
   *
   * <p>A fraction of a permit is the probability of a whole one. If nodes with nothing to send
   * saved up whole permits instead, all of these would be used at once.
   *
   * @param freeCapacity number of requests that the engines can still take, as far as known
   * @param totalCapacity number of requests that they can take when they have none
   * @param nodes number of nodes that share the engines
   * @param waiting number of requests waiting at this node, including the one to be sent
   * @param renewNanos time until the decisions of other nodes are known here
   * @param draw random number from 0 to below 1, uniform over the calls
   * @param nowNanos current time of the steady clock
   */
  public boolean take(
      double freeCapacity,
      double totalCapacity,
      int nodes,
      int waiting,
      long renewNanos,
      double draw,
      long nowNanos) {
    if (nodes <= 1) {
      return freeCapacity >= 1;
    }
    if (freeCapacity >= FREE_SHARE * totalCapacity) {
      return true;
    }
    double overcommit = Math.max(1, OVERCOMMIT / Math.max(1, waiting));
    accrue(overcommit * freeCapacity / nodes, renewNanos, nowNanos);
    boolean taken = draw < permits;
    permits = taken ? Math.max(0, permits - 1) : 0;
    return taken;
  }

  private void accrue(double share, long renewNanos, long nowNanos) {
    if (started) {
      double elapsed = (double) Math.max(0, nowNanos - atNanos) / renewNanos;
      permits = Math.min(share, permits + share * Math.min(1, elapsed));
    }
    started = true;
    atNanos = nowNanos;
  }
}
