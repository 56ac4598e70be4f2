package org.fallturn.core.dispatch;

import org.fallturn.core.routing.Rank;

/**
 * The order among the requests of one engine; 0 goes first. A request's rank decides. Within it
 * those go first whose prompt has been read: they need only a slot and a move, and what was read is
 * lost when their caller leaves. Then come those that can still be answered in time: one that
 * cannot only makes others late when it goes ahead of them; it goes behind those of lower ranks too
 * where both can be served.
 */
enum Urgency {
  /** The prompt has been read, and its KV cache waits at another engine. */
  READ,
  /** The prompt is still to be read, and can be in time. */
  IN_TIME,
  /** The prompt is still to be read, and cannot be in time. */
  LATE,
  /**
   * Such a prompt that has so much time left that it is served all the same when it goes behind
   * others, whatever their rank: it loses nothing by that, and they are in time.
   */
  YIELDING;

  /** How many levels engines know: 0 to 9. */
  static final int LEVELS = 10;

  private static final int LEVELS_A_RANK = 3;

  /** Whether it cannot be in time. */
  boolean late() {
    return this == LATE || this == YIELDING;
  }

  /** Whether there is a level of its own for what yields, behind those of all ranks. */
  static boolean canYield(Rank rank) {
    return LEVELS_A_RANK * rank.places() < LEVELS;
  }

  /**
   * The level that an engine is told. Where there are too many ranks for a level of each kind, read
   * prompts lose theirs, since they seldom wait at the same engine as others; where there are still
   * too many, those that are late.
   */
  int level(Rank rank) {
    if (this == YIELDING) {
      return LEVELS - 1;
    }
    int each = Math.max(1, Math.min(LEVELS_A_RANK, LEVELS / rank.places()));
    int within =
        switch (each) {
          case 1 -> 0;
          case 2 -> this == LATE ? 1 : 0;
          default -> ordinal();
        };
    return Math.min(LEVELS - 1, each * rank.place() + within);
  }
}
