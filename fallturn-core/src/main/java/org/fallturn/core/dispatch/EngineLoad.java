package org.fallturn.core.dispatch;

/**
 * What this node has at one engine, and what the other nodes say they have there. One thread calls.
 */
final class EngineLoad {

  private final EngineHealth health = new EngineHealth();
  private int running;
  private long prefillTokens;

  EngineHealth health() {
    return health;
  }

  /** Requests that this node has there. */
  int running() {
    return running;
  }

  /** Prompt tokens that this node has sent there to be read and that are not read yet. */
  long prefillTokens() {
    return prefillTokens;
  }

  void add(int tokens) {
    running++;
    prefillTokens += tokens;
    health.onSent();
  }

  void remove(int tokens) {
    running--;
    prefillTokens -= tokens;
  }

  /** So many tokens were read; the request still runs. */
  void promptRead(int tokens) {
    prefillTokens -= tokens;
  }

  boolean idle() {
    return running == 0;
  }
}
