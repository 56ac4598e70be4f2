package org.fallturn.node.operators;

import java.util.function.Supplier;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.TableSchema;

/**
 * A live table whose rows come from a supplier.
 *
 * @param schema name and columns
 * @param scope which nodes have to be asked for the whole table
 * @param rows the rows this node answers for; quick, any thread
 */
public record SuppliedTable(TableSchema schema, Scope scope, Supplier<LiveRows> rows)
    implements LiveTable {

  @Override
  public LiveRows read() {
    return rows.get();
  }
}
