package org.fallturn.core.port.table;

import java.util.List;

/**
 * The platform's transactional table service. Calls block their thread for a bounded time; only
 * duty threads that own the table traffic call them.
 */
public interface TableService {

  /** Reads rows by name; absent ones have version 0. */
  List<TableRow> read(List<RowKey> keys) throws StoreException;

  /** Reads rows of a table in key order. */
  List<TableRow> scan(ScanRequest request) throws StoreException;

  /**
   * Applies writes together or not at all.
   *
   * @throws StoreException when {@link StoreException#mayHaveTakenEffect()}, the caller settles the
   *     matter by reading back what it wrote, never by guessing
   */
  TransactionAnswer transact(TableTransaction transaction) throws StoreException;
}
