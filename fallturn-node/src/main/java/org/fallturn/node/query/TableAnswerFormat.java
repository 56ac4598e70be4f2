package org.fallturn.node.query;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.Value;
import org.fallturn.node.operators.StatementAnswer;

/** Prints the rows as an aligned table with remarks below it. */
final class TableAnswerFormat implements AnswerFormat {

  private static final String GAP = "  ";

  @Override
  public void print(StatementAnswer answer, PrintStream out, PrintStream notes) {
    List<List<String>> lines = new ArrayList<>();
    lines.add(answer.columns());
    for (Row row : answer.rows()) {
      lines.add(row.values().stream().map(TableAnswerFormat::oneLine).toList());
    }
    if (!answer.rows().isEmpty()) {
      int[] widths = widths(lines);
      for (List<String> line : lines) {
        out.println(aligned(line, widths));
      }
    }
    AnswerRemarks.of(answer).forEach(out::println);
  }

  private static String oneLine(Value value) {
    return value.text().replaceAll("\\s+", " ");
  }

  private static int[] widths(List<List<String>> lines) {
    int[] widths = new int[lines.get(0).size()];
    for (List<String> line : lines) {
      for (int column = 0; column < widths.length; column++) {
        widths[column] = Math.max(widths[column], line.get(column).length());
      }
    }
    return widths;
  }

  private static String aligned(List<String> line, int[] widths) {
    StringBuilder text = new StringBuilder();
    for (int column = 0; column < widths.length; column++) {
      String field = line.get(column);
      text.append(field).append(" ".repeat(widths[column] - field.length())).append(GAP);
    }
    return text.toString().stripTrailing();
  }
}
