package org.fallturn.node.gateway;

/**
 * What the gateway needs from the head of an engine's answer.
 *
 * @param status HTTP status
 * @param notExecuted whether the engine says that it did not run the request
 * @param signed whether it bears the engine's mark of an answer of its own
 * @param requestId the request it belongs to; empty when it does not say
 */
public record EngineAnswerHead(int status, boolean notExecuted, boolean signed, String requestId) {

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;

  /** Whether the status says success. */
  public boolean success() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }

  /** Whether the answer belongs to the request, as far as it says. */
  public boolean belongsTo(String id) {
    return requestId.isEmpty() || requestId.equals(id);
  }
}
