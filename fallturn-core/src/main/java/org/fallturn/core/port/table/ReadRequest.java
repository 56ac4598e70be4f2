package org.fallturn.core.port.table;

import java.util.List;

/**
 * Read rows by name, {@code POST /v1/table/read}. Absent rows come back with version 0.
 *
 * @param keys the rows
 */
public record ReadRequest(List<RowKey> keys) {

  /** A private copy of the keys. */
  public ReadRequest {
    keys = List.copyOf(keys);
  }
}
