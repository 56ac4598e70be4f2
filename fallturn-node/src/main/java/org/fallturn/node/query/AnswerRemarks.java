package org.fallturn.node.query;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.node.operators.GeneratedKey;
import org.fallturn.node.operators.StatementAnswer;

/** What an operator should know beside the rows of an answer. */
final class AnswerRemarks {

  private AnswerRemarks() {}

  static List<String> of(StatementAnswer answer) {
    List<String> remarks = new ArrayList<>();
    switch (answer.kind()) {
      case ROWS -> remarks.add(answer.rows().size() + " rows");
      case ACCEPTED -> remarks.add("accepted version " + answer.version());
      case UNCHANGED -> remarks.add("nothing to change; version " + answer.version() + " stays");
      default -> remarks.add("explained on version " + answer.version() + "; nothing was done");
    }
    answer.inForce().ifPresent(state -> remarks.add(inForce(state)));
    for (GeneratedKey key : answer.generatedKeys()) {
      remarks.add("new key for " + key.name() + ", shown only now: " + key.key());
    }
    if (answer.truncated()) {
      remarks.add("there are more rows than shown; narrow the query with WHERE or LIMIT");
    }
    addParts(answer.parts(), remarks);
    return remarks;
  }

  private static String inForce(StatementAnswer.InForce state) {
    String text = "in force on " + state.nodesInForce() + " of " + state.nodes() + " nodes";
    if (!state.laggards().isEmpty()) {
      text += "; not yet on " + String.join(", ", state.laggards());
    }
    if (!state.missingZones().isEmpty()) {
      text += "; no answer from zones " + String.join(", ", state.missingZones());
    }
    return text;
  }

  private static void addParts(List<StatementAnswer.Part> parts, List<String> remarks) {
    long oldest = 0;
    for (StatementAnswer.Part part : parts) {
      oldest = Math.max(oldest, part.ageMillis());
      if (!part.missing().isEmpty()) {
        remarks.add("missing: " + part.source() + " (" + part.missing() + ")");
      }
    }
    if (parts.size() > 1) {
      remarks.add("from " + parts.size() + " parts, the oldest " + oldest + " ms old");
    }
  }
}
