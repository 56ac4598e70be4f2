package org.fallturn.core.query;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.ConfigurationRecord;
import org.fallturn.core.configuration.PlannedChange;
import org.fallturn.core.configuration.RecordKey;

/** Says what a change does, record by record. */
public final class ChangeDescription {

  /** Names of the columns of {@link #rows}. */
  public static final List<String> COLUMNS = List.of("action", "table", "row", "values");

  private ChangeDescription() {}

  /** One row for each record that is added, changed or removed. */
  public static List<Row> rows(ConfigurationImage before, PlannedChange change) {
    List<Row> rows = new ArrayList<>();
    for (ConfigurationRecord record : change.puts()) {
      RecordKey key = RecordKey.of(record);
      ConfigurationTable table = ConfigurationTables.ofType(key.type());
      Optional<ConfigurationRecord> old = before.find(key);
      String action = old.isPresent() ? "update" : "insert";
      String values = values(table, old, record);
      rows.add(Row.of(action, table.schema().name(), key.key(), values));
    }
    for (RecordKey key : change.removals()) {
      ConfigurationTable table = ConfigurationTables.ofType(key.type());
      rows.add(Row.of("delete", table.schema().name(), key.key(), null));
    }
    return rows;
  }

  private static String values(
      ConfigurationTable table, Optional<ConfigurationRecord> old, ConfigurationRecord record) {
    Row now = table.toRow().write(record);
    List<String> parts = new ArrayList<>();
    for (int index = 0; index < table.schema().columns().size(); index++) {
      String column = table.schema().columns().get(index).name();
      Value value = now.get(index);
      if (table.keyColumns().contains(column)) {
        continue;
      }
      if (old.isEmpty()) {
        parts.add(column + "=" + value.text());
        continue;
      }
      Value before = table.toRow().write(old.get()).get(index);
      if (!before.equals(value)) {
        parts.add(column + ": " + before.text() + " -> " + value.text());
      }
    }
    return String.join(", ", parts);
  }
}
