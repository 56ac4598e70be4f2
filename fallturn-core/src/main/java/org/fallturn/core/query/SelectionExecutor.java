package org.fallturn.core.query;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Executes a {@link Selection} over rows. Stateless. */
public final class SelectionExecutor {

  private SelectionExecutor() {}

  /** The rows for which the selection's condition holds; what a remote part needs to send. */
  public static List<Row> filter(Selection selection, List<Row> rows) {
    if (selection.where().isEmpty()) {
      return rows;
    }
    Condition condition = selection.where().get();
    return rows.stream().filter(row -> condition.test(row) == Truth.TRUE).toList();
  }

  /** The result's rows, from the rows of the whole table. */
  public static List<Row> execute(Selection selection, List<Row> tableRows) {
    List<Row> rows = filter(selection, tableRows);
    List<Computed> computed =
        selection.isGrouped() ? group(selection, rows) : project(selection, rows);
    if (!selection.orderBy().isEmpty()) {
      computed = new ArrayList<>(computed);
      computed.sort(order(selection.orderBy()));
    }
    return computed.stream()
        .skip(selection.offset())
        .limit(selection.limit())
        .map(Computed::result)
        .toList();
  }

  private static List<Computed> project(Selection selection, List<Row> rows) {
    List<Computed> computed = new ArrayList<>();
    for (Row row : rows) {
      List<Value> values = new ArrayList<>();
      for (Output output : selection.outputs()) {
        values.add(row.get(((Output.ColumnOutput) output).index()));
      }
      computed.add(new Computed(row, new Row(values)));
    }
    return computed;
  }

  private static List<Computed> group(Selection selection, List<Row> rows) {
    Map<List<Value>, List<Row>> groups = new LinkedHashMap<>();
    if (selection.groupBy().isEmpty()) {
      groups.put(List.of(), new ArrayList<>());
    }
    for (Row row : rows) {
      List<Value> key = selection.groupBy().stream().map(row::get).toList();
      groups.computeIfAbsent(key, absent -> new ArrayList<>()).add(row);
    }
    List<Computed> computed = new ArrayList<>();
    for (List<Row> members : groups.values()) {
      List<Value> values = new ArrayList<>();
      for (Output output : selection.outputs()) {
        values.add(compute(output, members));
      }
      Row source = members.isEmpty() ? null : members.get(0);
      computed.add(new Computed(source, new Row(values)));
    }
    return computed;
  }

  private static Value compute(Output output, List<Row> members) {
    if (output instanceof Output.AggregateOutput aggregate) {
      return Aggregates.compute(aggregate, members);
    }
    return members.get(0).get(((Output.ColumnOutput) output).index());
  }

  private static Comparator<Computed> order(List<SortKey> keys) {
    return (left, right) -> {
      for (SortKey key : keys) {
        int comparison = compare(key.descending(), left.valueOf(key), right.valueOf(key));
        if (comparison != 0) {
          return comparison;
        }
      }
      return 0;
    };
  }

  private static int compare(boolean descending, Value left, Value right) {
    if (left.isNull() || right.isNull()) {
      return Boolean.compare(left.isNull(), right.isNull());
    }
    int comparison = left.compareTo(right);
    return descending ? -comparison : comparison;
  }

  /** A row of the result beside the row, or the first row of the group, that it came from. */
  private record Computed(Row source, Row result) {
    Value valueOf(SortKey key) {
      return key.fromOutput() ? result.get(key.index()) : source.get(key.index());
    }
  }
}
