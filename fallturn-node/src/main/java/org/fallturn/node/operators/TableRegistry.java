package org.fallturn.node.operators;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.query.ConfigurationTable;
import org.fallturn.core.query.ConfigurationTables;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.TableSchema;

/** The tables that operators can read, by name. Thread-safe; modules register theirs at start. */
public final class TableRegistry {

  private final Map<String, LiveTable> tables = new ConcurrentSkipListMap<>();
  private final Map<String, TableSchema> schemas = new ConcurrentSkipListMap<>();

  /** A registry with the configuration tables. */
  public TableRegistry(Supplier<ConfigurationImage> configuration) {
    ConfigurationTables.all()
        .forEach(table -> register(new ConfigurationLiveTable(table, configuration)));
  }

  /** Adds a table. */
  public TableRegistry register(LiveTable table) {
    String name = table.schema().name();
    if (tables.putIfAbsent(name, table) != null) {
      throw new IllegalStateException("table exists already: " + name);
    }
    schemas.put(name, table.schema());
    return this;
  }

  /** A table by its lower-case name. */
  Optional<LiveTable> find(String name) {
    return Optional.ofNullable(tables.get(name));
  }

  /** Schemas of all tables by name; follows later registrations. */
  Map<String, TableSchema> schemas() {
    return schemas;
  }

  /** A configuration table as any node knows it. */
  private record ConfigurationLiveTable(
      ConfigurationTable table, Supplier<ConfigurationImage> configuration) implements LiveTable {

    @Override
    public TableSchema schema() {
      return table.schema();
    }

    @Override
    public Scope scope() {
      return Scope.THIS_NODE;
    }

    @Override
    public LiveRows read() {
      return LiveRows.current(table.rows(configuration.get()));
    }
  }
}
