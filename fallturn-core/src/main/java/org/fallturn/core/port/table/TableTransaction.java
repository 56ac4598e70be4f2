package org.fallturn.core.port.table;

import java.util.List;

/**
 * Writes that take effect together or not at all, {@code POST /v1/table/transact}.
 *
 * @param writes each with its own condition
 */
public record TableTransaction(List<RowWrite> writes) {

  /** A private copy of the writes. */
  public TableTransaction {
    writes = List.copyOf(writes);
  }
}
