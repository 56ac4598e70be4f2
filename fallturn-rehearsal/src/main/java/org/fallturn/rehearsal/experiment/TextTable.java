package org.fallturn.rehearsal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A table of text with aligned columns. Not thread-safe. */
public final class TextTable {
  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /** A table with these column titles. */
  public TextTable(String... titles) {
    rows.add(List.of(titles));
  }

  /** Adds a row with one text for each column. */
  public void add(String... cells) {
    if (cells.length != rows.get(0).size()) {
      throw new IllegalArgumentException("row of " + cells.length + " cells");
    }
    rows.add(List.of(cells));
  }

  /** A number with this many decimals. */
  public static String number(double value, int decimals) {
    return String.format(Locale.ROOT, "%." + decimals + "f", value);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        line.append(padded(row.get(column), width(column), column == 0)).append(GAP);
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }

  private static String padded(String cell, int width, boolean left) {
    String padding = " ".repeat(width - cell.length());
    return left ? cell + padding : padding + cell;
  }
}
