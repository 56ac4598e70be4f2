package org.fallturn.core.query;

import java.util.List;
import java.util.stream.Stream;

/** Computes aggregates over the rows of a group. */
final class Aggregates {

  private Aggregates() {}

  static Value compute(Output.AggregateOutput aggregate, List<Row> members) {
    if (aggregate.index() == Output.AggregateOutput.ALL_ROWS) {
      return Value.of((long) members.size());
    }
    List<Value> values =
        members.stream()
            .map(row -> row.get(aggregate.index()))
            .filter(value -> !value.isNull())
            .toList();
    return switch (aggregate.function()) {
      case COUNT -> Value.of((long) values.size());
      case MIN -> values.stream().min(Value::compareTo).orElse(Value.NULL);
      case MAX -> values.stream().max(Value::compareTo).orElse(Value.NULL);
      case SUM -> sum(values);
      default -> average(values);
    };
  }

  private static Value sum(List<Value> values) {
    List<Value> numbers = values.stream().filter(Value::isNumber).toList();
    if (numbers.isEmpty()) {
      return Value.NULL;
    }
    boolean whole = numbers.stream().allMatch(value -> value.content() instanceof Long);
    double total = doubles(numbers).mapToDouble(Double::doubleValue).sum();
    if (whole && Math.abs(total) < Long.MAX_VALUE) {
      return Value.of(numbers.stream().mapToLong(value -> (Long) value.content()).sum());
    }
    return Value.of(total);
  }

  private static Value average(List<Value> values) {
    return doubles(values).mapToDouble(Double::doubleValue).average().stream()
        .mapToObj(Value::of)
        .findFirst()
        .orElse(Value.NULL);
  }

  private static Stream<Double> doubles(List<Value> values) {
    return values.stream().filter(Value::isNumber).map(Value::asDouble);
  }
}
