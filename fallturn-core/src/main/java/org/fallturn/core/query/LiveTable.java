package org.fallturn.core.query;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * A table that operators can read: a module's port towards the operators' language. A module
 * registers one for each kind of object that it knows.
 */
public interface LiveTable {

  /** Name and columns; constant. */
  TableSchema schema();

  /** Which nodes have to be asked for the whole table; constant. */
  Scope scope();

  /**
   * The rows that this node answers for. Called on any thread; must be quick and must not block.
   * For {@link Scope#LEADERS} only the rows of pools this node leads, so that each row comes from
   * one node.
   */
  LiveRows read();

  /** The same for a table that has to fetch its rows first. Must not block either. */
  default CompletionStage<LiveRows> readAsync() {
    return CompletableFuture.completedFuture(read());
  }

  /** Which nodes have to be asked for the whole table. */
  enum Scope {
    /** Any node knows the whole table, for example the configuration. */
    THIS_NODE,
    /** One node of each zone knows the zone's rows, for example the members. */
    EACH_ZONE,
    /** Each pool's leader knows the pool's rows, for example the engines. */
    LEADERS,
    /**
     * The owner of each tenant's quota knows the tenant's rows. The first column is the tenant, so
     * that a condition on it tells which owners to ask.
     */
    QUOTA_OWNERS
  }
}
