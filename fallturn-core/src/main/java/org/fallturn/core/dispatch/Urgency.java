package org.fallturn.core.dispatch;

import org.fallturn.core.routing.Rank;

/**
 * The order among the requests of one engine; 0 goes first. A request's rank decides. Within it
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

  private static final int LEVELS_A_RANK = values().length;

  /**
   * The level that an engine is told. Where there are too many ranks for a level of each kind, read
   * prompts lose theirs, since they seldom wait at the same engine as others; where there are still
   * too many, those that are late.
   */
  int level(Rank rank) {
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
