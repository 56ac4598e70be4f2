package org.fallturn.node.gateway;

/**
 * The parts of an answer's status line and headers that the gateway uses.
 *
 * @param status HTTP status
 * @param notExecuted whether the engine says that it did not run the request
 * @param stamped whether the answer carries the stamp that engines put on answers of their own
 * @param requestId id of the request that is answered; empty when the answer does not say
 */
public record EngineAnswerHead(int status, boolean notExecuted, boolean stamped, String requestId) {

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int MISDIRECTED = 421;

  /** Whether the head alone tells that the engine did not run the request. */
  public boolean saysNotRun() {
    return notExecuted || status == MISDIRECTED;
  }

  /** Whether the status is 2xx. */
  public boolean success() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }

  /** Whether the answer names the request. */
  public boolean names(String id) {
    return requestId.equals(id);
  }

  /** Whether the answer belongs to the request; true when it names none. */
  public boolean belongsTo(String id) {
    return requestId.isEmpty() || names(id);
  }
}
