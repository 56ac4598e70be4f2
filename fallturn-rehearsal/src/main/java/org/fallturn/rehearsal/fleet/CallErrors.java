package org.fallturn.rehearsal.fleet;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads error bodies. */
final class CallErrors {

  private CallErrors() {}

  static CallResult.Verdict verdict(JsonNode body) {
    return switch (body.path("error").path("outcome").asText()) {
      case "not-run" -> CallResult.Verdict.NOT_RUN;
      case "outcome-unknown" -> CallResult.Verdict.UNKNOWN;
      default -> CallResult.Verdict.WRONG;
    };
  }

  static String kind(JsonNode body) {
    JsonNode error = body.path("error");
    return error.path("kind").asText() + ": " + error.path("message").asText();
  }
}
