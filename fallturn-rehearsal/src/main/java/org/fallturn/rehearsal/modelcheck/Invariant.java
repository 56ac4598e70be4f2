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
  NO_CONFLICTING_ORDERS("an engine accepts no order while it carries out another one"),
  /** Accepted configuration is never lost or reverted. */
  CONFIGURATION_NEVER_REVERTS("a process never applies a lower configuration version"),
  /** A version has one content. */
  CONFIGURATION_SEQUENCE("an accepted version has one content and every process agrees on it"),
  /** Work that must not be repeated runs at most once. */
  AT_MOST_ONCE("work that must not be repeated runs at most once"),
  /** "Not run" is said only of work that did not run and never will. */
  NOT_RUN_IS_TRUE("a request that was answered not-run never runs"),
  /** A caller gets the whole answer to its own request. */
  WHOLE_OWN_ANSWER("an answer that looks whole is the whole answer to that very request"),
  /** A leaving back end gets no new work after the bound. */
  LEAVING_GETS_NO_WORK("a leaving back end gets no new work after a few seconds"),
  /** A planned change cuts no request. */
  PLANNED_CHANGE_CUTS_NOTHING("no engine is ordered to change while it works on a request");

  private final String description;

  Invariant(String description) {
    this.description = description;
  }

  /** One sentence for reports. */
  public String description() {
    return description;
  }
}
