package org.fallturn.node.query;

import java.io.PrintStream;
import org.fallturn.node.operators.StatementAnswer;

/** Prints answers to statements. */
interface AnswerFormat {

  /**
   * Prints one answer.
   *
   * @param answer the answer
   * @param out where the rows go
   * @param notes where remarks go that are not part of the rows
   */
  void print(StatementAnswer answer, PrintStream out, PrintStream notes);

  /** The format of a name as on the command line. */
  static AnswerFormat named(String name) {
    return switch (name) {
      case "json" -> new JsonAnswerFormat();
      case "csv" -> new CsvAnswerFormat();
      default -> new TableAnswerFormat();
    };
  }
}
