package org.fallturn.node.query;

import java.io.PrintStream;
import java.util.List;
import java.util.stream.Collectors;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.Value;
import org.fallturn.node.operators.StatementAnswer;

/** Prints the rows as comma-separated values after RFC 4180, remarks beside them. */
final class CsvAnswerFormat implements AnswerFormat {

  @Override
  public void print(StatementAnswer answer, PrintStream out, PrintStream notes) {
    out.println(line(answer.columns()));
    for (Row row : answer.rows()) {
      out.println(line(row.values().stream().map(Value::text).toList()));
    }
    AnswerRemarks.of(answer).forEach(notes::println);
  }

  private static String line(List<String> fields) {
    return fields.stream().map(CsvAnswerFormat::quoted).collect(Collectors.joining(","));
  }

  private static String quoted(String field) {
    boolean plain = field.chars().noneMatch(c -> c == ',' || c == '"' || c == '\n' || c == '\r');
    return plain ? field : '"' + field.replace("\"", "\"\"") + '"';
  }
}
