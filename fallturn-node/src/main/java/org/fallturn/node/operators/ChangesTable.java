package org.fallturn.node.operators;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.RecordKey;
import org.fallturn.core.query.Column;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.TableSchema;
import org.fallturn.node.configuration.ConfigurationModule;

/** The audit trail: the newest accepted changes, with who made them and by which statement. */
public final class ChangesTable implements LiveTable {

  private static final int NEWEST = 500;

  private static final TableSchema SCHEMA =
      TableSchema.of(
          "changes",
          Column.integer("version"),
          Column.text("accepted_at"),
          Column.text("operator"),
          Column.text("statement"),
          Column.text("records"),
          Column.text("attempt_id"));

  private final ConfigurationModule configuration;

  /** The trail of the given configuration. */
  public ChangesTable(ConfigurationModule configuration) {
    this.configuration = configuration;
  }

  @Override
  public TableSchema schema() {
    return SCHEMA;
  }

  @Override
  public Scope scope() {
    return Scope.THIS_NODE;
  }

  @Override
  public LiveRows read() {
    return rows(configuration.keptHistory());
  }

  @Override
  public CompletionStage<LiveRows> readAsync() {
    return configuration.history(NEWEST).thenApply(ChangesTable::rows);
  }

  private static LiveRows rows(List<ConfigurationDelta> deltas) {
    return LiveRows.current(deltas.stream().map(ChangesTable::row).toList());
  }

  private static Row row(ConfigurationDelta delta) {
    String puts =
        delta.puts().stream()
            .map(record -> RecordKey.of(record).describe())
            .collect(Collectors.joining(", "));
    String removals =
        delta.removals().stream()
            .map(key -> key.describe() + " (removed)")
            .collect(Collectors.joining(", "));
    String records =
        puts.isEmpty() || removals.isEmpty() ? puts + removals : puts + ", " + removals;
    return Row.of(
        delta.version(),
        delta.acceptedAt(),
        delta.operator(),
        delta.statement(),
        records,
        delta.attemptId());
  }
}
