package org.fallturn.core.dispatch;

/**
 * The order among the requests of one engine; 0 goes first. A request's priority decides. Within it
 * those go first whose prompt has been read: they need only a slot and a move, and what was read is
 * lost when their caller leaves. Then come those that can still be answered in time: one that
 * cannot only makes others late when it goes ahead of them.
 */
enum Urgency {
  /** The prompt has been read, and its KV cache waits at another engine. */
  READ,
  /** The prompt is still to be read, and can be in time. */
  IN_TIME,
  /** The prompt is still to be read, and cannot be in time. */
  LATE;

  /** How many levels engines know: 0 to 9. */
  static final int LEVELS = 10;

  private static final int LEVELS_A_PRIORITY = values().length;

  /**
   * The level that an engine is told.
   *
   * @param priority of the request, which its tenant or its route sets
   */
  int level(int priority) {
    return Math.min(LEVELS - 1, LEVELS_A_PRIORITY * priority + ordinal());
  }
}
