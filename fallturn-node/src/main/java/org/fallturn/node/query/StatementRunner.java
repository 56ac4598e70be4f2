package org.fallturn.node.query;

import java.io.PrintStream;
import org.fallturn.core.error.Outcome;
import org.fallturn.node.operators.StatementAnswer;

/** Sends one statement, prints the answer and tells the exit code. */
final class StatementRunner {

  /** Everything was done and nothing is missing. */
  static final int DONE = 0;

  /** The statement was refused; nothing was done. */
  static final int REFUSED = 1;

  /** No answer came; a change may have been accepted. */
  static final int UNKNOWN = 3;

  /** Done, but rows or nodes are missing. */
  static final int INCOMPLETE = 4;

  private final OperatorsClient client;
  private final AnswerFormat format;
  private final PrintStream out;
  private final PrintStream errors;

  StatementRunner(
      OperatorsClient client, AnswerFormat format, PrintStream out, PrintStream errors) {
    this.client = client;
    this.format = format;
    this.out = out;
    this.errors = errors;
  }

  int run(String statement) {
    try {
      StatementAnswer answer = client.send(statement);
      format.print(answer, out, errors);
      return answer.incomplete() ? INCOMPLETE : DONE;
    } catch (QueryFailedException e) {
      errors.println("error: " + e.getMessage());
      return e.outcome() == Outcome.NOT_RUN ? REFUSED : UNKNOWN;
    }
  }
}
