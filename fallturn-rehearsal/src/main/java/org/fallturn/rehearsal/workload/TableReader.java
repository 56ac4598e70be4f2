package org.fallturn.rehearsal.workload;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the fields of one TOML table and notes each mistake with its line and dotted name, so that
 * one pass reports them all. A field that is wrong reads as its fallback. Not thread-safe.
 */
final class TableReader {
  private final TomlTable table;
  private final int tableLine;
  private final String path;
  private final List<WorkloadProblem> problems;
  private final Set<String> known = new HashSet<>();

  TableReader(TomlTable table, int tableLine, String path, List<WorkloadProblem> problems) {
    this.table = table;
    this.tableLine = tableLine;
    this.path = path;
    this.problems = problems;
  }

  String text(String field) {
    return required(field, "", value -> value instanceof String text ? text : null, "text");
  }

  List<String> texts(String field) {
    return required(field, List.of(), TableReader::textList, "a list of text, not empty");
  }

  double number(String field, double least) {
    return required(
        field, least, value -> atLeast(numberOf(value), least), "a number of at least " + least);
  }

  double number(String field, double least, double fallback) {
    return has(field) ? number(field, least) : fallback;
  }

  int whole(String field, int least) {
    return required(
        field, least, value -> wholeOf(value, least), "a whole number of at least " + least);
  }

  int whole(String field, int least, int fallback) {
    return has(field) ? whole(field, least) : fallback;
  }

  NumberRange range(String field, NumberRange fallback) {
    if (!has(field)) {
      return fallback;
    }
    return required(
        field, fallback, TableReader::rangeOf, "a number, or [low, high] with low <= high");
  }

  <E extends Enum<E>> E constant(String field, Class<E> type, E fallback) {
    return required(field, fallback, value -> constantOf(type, value), "one of " + names(type));
  }

  TableReader child(String field) {
    TomlTable child =
        required(field, null, value -> value instanceof TomlTable inner ? inner : null, "a table");
    return new TableReader(
        child == null ? org.tomlj.Toml.parse("") : child,
        line(field),
        path + field + ".",
        problems);
  }

  boolean has(String field) {
    known.add(field);
    return table.contains(List.of(field));
  }

  Set<String> fields() {
    return table.keySet();
  }

  void problem(String field, String message) {
    problems.add(new WorkloadProblem(line(field), path + field, message));
  }

  /** Notes each field of the table that nobody asked for. */
  void rejectOthers() {
    for (String field : table.keySet()) {
      if (!known.contains(field)) {
        problem(field, "is not known here");
      }
    }
  }

  private <T> T required(String field, T fallback, Function<Object, T> reader, String expected) {
    known.add(field);
    Object value = table.get(List.of(field));
    if (value == null) {
      problem(field, "is missing; must be " + expected);
      return fallback;
    }
    T result = reader.apply(value);
    if (result == null) {
      problem(field, "must be " + expected);
      return fallback;
    }
    return result;
  }

  private int line(String field) {
    TomlPosition position = table.inputPositionOf(List.of(field));
    return position == null ? tableLine : position.line();
  }

  private static Double numberOf(Object value) {
    return value instanceof Number number ? number.doubleValue() : null;
  }

  private static Double atLeast(Double value, double least) {
    return value != null && value >= least ? value : null;
  }

  private static Integer wholeOf(Object value, int least) {
    boolean fits = value instanceof Long number && number >= least && number <= Integer.MAX_VALUE;
    return fits ? ((Long) value).intValue() : null;
  }

  private static NumberRange rangeOf(Object value) {
    if (value instanceof Number number) {
      return NumberRange.of(number.doubleValue());
    }
    if (!(value instanceof TomlArray array) || array.size() != 2) {
      return null;
    }
    Double low = numberOf(array.get(0));
    Double high = numberOf(array.get(1));
    return low != null && high != null && low <= high ? new NumberRange(low, high) : null;
  }

  private static List<String> textList(Object value) {
    if (!(value instanceof TomlArray array) || array.isEmpty()) {
      return null;
    }
    List<String> texts = new ArrayList<>();
    for (Object element : array.toList()) {
      if (!(element instanceof String text) || text.isBlank()) {
        return null;
      }
      texts.add(text);
    }
    return texts;
  }

  private static <E extends Enum<E>> E constantOf(Class<E> type, Object value) {
    Optional<E> found = Optional.empty();
    for (E constant : type.getEnumConstants()) {
      if (constant.name().toLowerCase(java.util.Locale.ROOT).equals(value)) {
        found = Optional.of(constant);
      }
    }
    return found.orElse(null);
  }

  private static <E extends Enum<E>> List<String> names(Class<E> type) {
    List<String> names = new ArrayList<>();
    for (E constant : type.getEnumConstants()) {
      names.add(constant.name().toLowerCase(java.util.Locale.ROOT));
    }
    return names;
  }
}
