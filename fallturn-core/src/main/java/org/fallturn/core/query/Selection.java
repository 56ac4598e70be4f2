package org.fallturn.core.query;

import java.util.List;
import java.util.Optional;

/**
 * A read of one table, checked against its schema.
 *
 * @param table name of the table
 * @param outputs columns of the result
 * @param where only rows for which it holds
 * @param groupBy indexes of table columns
 * @param orderBy the order; empty leaves rows as they come
 * @param offset rows left out at the start
 * @param limit most rows in the result
 */
public record Selection(
    String table,
    List<Output> outputs,
    Optional<Condition> where,
    List<Integer> groupBy,
    List<SortKey> orderBy,
    long offset,
    long limit) {

  /** Private copies of the lists. */
  public Selection {
    outputs = List.copyOf(outputs);
    groupBy = List.copyOf(groupBy);
    orderBy = List.copyOf(orderBy);
  }

  /** Whether rows are gathered into groups. */
  public boolean isGrouped() {
    return !groupBy.isEmpty()
        || outputs.stream().anyMatch(Output.AggregateOutput.class::isInstance);
  }
}
