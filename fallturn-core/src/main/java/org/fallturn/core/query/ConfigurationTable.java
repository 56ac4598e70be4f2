package org.fallturn.core.query;

import java.util.List;
import java.util.Map;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.ConfigurationRecord;
import org.fallturn.core.configuration.RecordKey;
import org.fallturn.core.error.FallturnException;

/**
 * A kind of configuration record as a table.
 *
 * @param schema name and columns
 * @param recordType type name of the records, see {@link RecordKey}
 * @param keyColumns columns that make up the record's key; an update must leave them
 * @param toRow writes a record as a row
 * @param fromValues reads a record from values by column
 */
public record ConfigurationTable(
    TableSchema schema,
    String recordType,
    List<String> keyColumns,
    RowWriter toRow,
    RecordReader fromValues) {

  /** All rows of an image, by key. */
  public List<Row> rows(ConfigurationImage image) {
    return image.records(recordType).entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(entry -> toRow.write(entry.getValue()))
        .toList();
  }

  /** Writes a record as a row. */
  @FunctionalInterface
  public interface RowWriter {
    /** The row of a record of this table's type. */
    Row write(ConfigurationRecord record);
  }

  /** Reads a record from values by column. */
  @FunctionalInterface
  interface RecordReader {
    /** The record; the error names the column that is wrong or absent. */
    ConfigurationRecord read(RowValues values) throws FallturnException;
  }
}
