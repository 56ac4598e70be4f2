package org.fallturn.core.port.table;

import java.util.List;

/**
 * Result of a transaction that reached the table.
 *
 * @param committed whether all writes took effect
 * @param conflicts the rows whose version was not the expected one, as they are now; empty when
 *     committed
 */
public record TransactionAnswer(boolean committed, List<TableRow> conflicts) {

  /** A private copy of the conflicts. */
  public TransactionAnswer {
    conflicts = List.copyOf(conflicts);
  }
}
