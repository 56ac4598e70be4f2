package org.fallturn.core.disconnect;

/**
 * A request whose connection to an engine ended before its answer did, so that the engine may still
 * work on it. Times are nanoTime.
 */
public final class OrphanedRun {

  private final String engineId;
  private final String requestId;
  private final long sentNanos;
  private final long endedNanos;
  private final long answerByNanos;
  private final DisconnectCause cause;
  private boolean seenNamed;

  /**
   * An orphaned run.
   *
   * @param engineId names one start of an engine
   * @param sentNanos when it began to be sent
   * @param endedNanos when its connection had ended
   * @param answerByNanos the deadline of its request
   * @param cause why its connection ended
   */
  public OrphanedRun(
      String engineId,
      String requestId,
      long sentNanos,
      long endedNanos,
      long answerByNanos,
      DisconnectCause cause) {
    this.engineId = engineId;
    this.requestId = requestId;
    this.sentNanos = sentNanos;
    this.endedNanos = endedNanos;
    this.answerByNanos = answerByNanos;
    this.cause = cause;
  }

  /** The engine that it was sent to. */
  public String engineId() {
    return engineId;
  }

  /** The request. */
  public String requestId() {
    return requestId;
  }

  /** When its connection had ended. */
  public long endedNanos() {
    return endedNanos;
  }

  /** Why its connection ended. */
  public DisconnectCause cause() {
    return cause;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Time that its request had left when the connection ended. */
  long leftNanos() {
    return answerByNanos - endedNanos;
  }

  boolean seenNamed() {
    return seenNamed;
  }

  void onNamed() {
    seenNamed = true;
  }
}
