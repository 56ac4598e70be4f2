package org.fallturn.core.quarantine;

/** What an engine had to do with a request when the connection to it broke. */
public enum BrokenAttempt {
  /** It was to read the prompt ahead, for another engine that writes the answer. */
  READ_AHEAD(false, false),
  /** It was to run the request, beside others. */
  RUN(true, false),
  /** It was to run the request, as the engine with the fewest others. */
  RUN_ALONE(true, true);

  private final boolean accusesParts;
  private final boolean alone;

  BrokenAttempt(boolean accusesParts, boolean alone) {
    this.accusesParts = accusesParts;
    this.alone = alone;
  }

  /**
   * Returns whether a crash speaks against the parts of the prompt. A prefill does not: it begins
   * no answer, and shared parts are read ahead all the time.
   */
  boolean accusesParts() {
    return accusesParts;
  }

  /** Returns whether few other requests can have crashed the engine. */
  boolean alone() {
    return alone;
  }
}
