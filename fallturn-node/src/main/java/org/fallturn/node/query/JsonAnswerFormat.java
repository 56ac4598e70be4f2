package org.fallturn.node.query;

import java.io.PrintStream;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.operators.StatementAnswer;

/** Prints the whole answer as one line of JSON. */
final class JsonAnswerFormat implements AnswerFormat {

  private final JsonCodec codec = new JsonCodec();

  @Override
  public void print(StatementAnswer answer, PrintStream out, PrintStream notes) {
    out.println(codec.encodeText(answer));
  }
}
