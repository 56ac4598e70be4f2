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
  private boolean seenRunning;

  /**
   * An orphaned run.
   *
   * @param engineId names one start of an engine
   * @param sentNanos when it began to be sent
   * @param endedNanos when its connection had ended
   */
  public OrphanedRun(String engineId, String requestId, long sentNanos, long endedNanos) {
    this.engineId = engineId;
    this.requestId = requestId;
    this.sentNanos = sentNanos;
    this.endedNanos = endedNanos;
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

  long sentNanos() {
    return sentNanos;
  }

  boolean seenRunning() {
    return seenRunning;
  }

  void onSeenRunning() {
    seenRunning = true;
  }
}
