package org.fallturn.rehearsal.modelcheck;

/** What must always hold; checked after each step of a simulation. */
public enum Invariant {
  /** At no moment may two processes order the engines of one pool. */
  ONE_LEADER("at most one process may order a pool's engines at any moment"),
  /** An epoch belongs to one process. */
  EPOCH_UNIQUE("no two processes lead a pool with the same epoch"),
  /** An order is sent only by the process that the lease row names. */
  ORDER_NEEDS_LEASE("an order is sent only while the lease row names its sender and epoch"),
  /** Once a leader has read an engine's state, no older order takes effect there. */
  STALE_ORDER_HAS_NO_EFFECT("no order of an older epoch takes effect after a fence"),
  /** An engine gets no order while it carries out another one. */
  NO_CONFLICTING_ORDERS("an engine accepts no order while it carries out another one");

  private final String description;

  Invariant(String description) {
    this.description = description;
  }

  /** One sentence for reports. */
  public String description() {
    return description;
  }
}
