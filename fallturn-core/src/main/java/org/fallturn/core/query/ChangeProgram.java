package org.fallturn.core.query;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.configuration.ChangePlanner;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.ConfigurationRecord;
import org.fallturn.core.configuration.PlannedChange;
import org.fallturn.core.configuration.RecordKey;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/**
 * Statements that together are one change. Each sees what those before it did; the plan is the
 * difference between the image before the first and after the last.
 *
 * @param steps the statements in order
 */
public record ChangeProgram(List<ChangeStep> steps) implements ChangePlanner {

  /** A private copy of the steps. */
  public ChangeProgram {
    steps = List.copyOf(steps);
  }

  @Override
  public PlannedChange plan(ConfigurationImage image) throws FallturnException {
    ConfigurationImage working = image;
    for (ChangeStep step : steps) {
      working = apply(step, working);
    }
    return difference(image, working);
  }

  private static ConfigurationImage apply(ChangeStep step, ConfigurationImage image)
      throws FallturnException {
    ConfigurationTable table = ConfigurationTables.find(step.table()).orElseThrow();
    List<ConfigurationRecord> puts = new ArrayList<>();
    List<RecordKey> removals = new ArrayList<>();
    if (step instanceof ChangeStep.Insert insert) {
      insert(table, insert, image, puts);
    } else if (step instanceof ChangeStep.Update update) {
      update(table, update, image, puts);
    } else if (step instanceof ChangeStep.Delete delete) {
      for (ConfigurationRecord record : matching(table, delete.where(), image)) {
        removals.add(RecordKey.of(record));
      }
    }
    return image.apply(
        new ConfigurationDelta(image.version() + 1, "", "", Instant.EPOCH, "", puts, removals));
  }

  private static void insert(
      ConfigurationTable table,
      ChangeStep.Insert insert,
      ConfigurationImage image,
      List<ConfigurationRecord> puts)
      throws FallturnException {
    Map<String, RecordKey> added = new HashMap<>();
    for (Map<String, Value> values : insert.rows()) {
      ConfigurationRecord record = read(table, values);
      RecordKey key = RecordKey.of(record);
      if (image.find(key).isPresent() || added.put(key.key(), key) != null) {
        throw new FallturnException(
            ErrorKind.INVALID_REQUEST, key.describe() + " exists already; UPDATE changes it");
      }
      puts.add(record);
    }
  }

  private static void update(
      ConfigurationTable table,
      ChangeStep.Update update,
      ConfigurationImage image,
      List<ConfigurationRecord> puts)
      throws FallturnException {
    for (ConfigurationRecord record : matching(table, update.where(), image)) {
      Map<String, Value> values = valuesOf(table, record);
      values.putAll(update.values());
      puts.add(read(table, values));
    }
  }

  private static ConfigurationRecord read(ConfigurationTable table, Map<String, Value> values)
      throws FallturnException {
    try {
      return table.fromValues().read(new RowValues(table.schema().name(), values));
    } catch (IllegalArgumentException e) {
      throw new FallturnException(
          ErrorKind.INVALID_REQUEST, "table " + table.schema().name() + ": " + e.getMessage(), e);
    }
  }

  private static List<ConfigurationRecord> matching(
      ConfigurationTable table, Condition where, ConfigurationImage image) {
    List<ConfigurationRecord> records = new ArrayList<>();
    for (ConfigurationRecord record : image.records(table.recordType()).values()) {
      if (where.test(table.toRow().write(record)) == Truth.TRUE) {
        records.add(record);
      }
    }
    return records;
  }

  private static Map<String, Value> valuesOf(ConfigurationTable table, ConfigurationRecord record) {
    Row row = table.toRow().write(record);
    Map<String, Value> values = new HashMap<>();
    for (int index = 0; index < table.schema().columns().size(); index++) {
      values.put(table.schema().columns().get(index).name(), row.get(index));
    }
    return values;
  }

  private static PlannedChange difference(ConfigurationImage before, ConfigurationImage after) {
    List<ConfigurationRecord> puts = new ArrayList<>();
    List<RecordKey> removals = new ArrayList<>();
    for (ConfigurationTable table : ConfigurationTables.all()) {
      Map<String, ? extends ConfigurationRecord> old = before.records(table.recordType());
      Map<String, ? extends ConfigurationRecord> now = after.records(table.recordType());
      now.keySet().stream()
          .sorted()
          .filter(key -> !now.get(key).equals(old.get(key)))
          .forEach(key -> puts.add(now.get(key)));
      old.keySet().stream()
          .sorted()
          .filter(key -> !now.containsKey(key))
          .forEach(key -> removals.add(new RecordKey(table.recordType(), key)));
    }
    return new PlannedChange(puts, removals);
  }
}
