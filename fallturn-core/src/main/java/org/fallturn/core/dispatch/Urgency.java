package org.fallturn.core.dispatch;

import org.fallturn.core.routing.Rank;

/**
 * Priority classes of the requests at one engine; the engine serves lower levels first. The rank of
 * a request decides first. Within a rank, requests whose prompt has been read go first: they need
 * only a slot and a transfer of the KV cache, and the work of reading is lost when their caller
 * leaves. Then come those that can still be answered in time. A request that cannot be in time
 * would only make others late if it went ahead of them; it even goes behind requests of lower ranks
 * where both can be served.
 */
enum Urgency {
  /** The prompt has been read; its KV cache waits at another engine. */
  READ,
  /** The prompt has not been read yet; the answer can begin in time. */
  IN_TIME,
  /** The prompt has not been read yet; the answer cannot begin in time. */
  LATE,
  /**
   * Like {@link #LATE}, but with enough time left to be served even behind requests of all ranks:
   * it loses nothing by yielding, and the others are in time.
   */
  YIELDING;

  /** Number of urgency levels that engines know: 0 to 9. */
  static final int LEVELS = 10;

  private static final int LEVELS_PER_RANK = 3;

  /** Whether the answer cannot begin in time. */
  boolean late() {
    return this == LATE || this == YIELDING;
  }

  /**
   * Whether the ranks leave a level for {@link #YIELDING}, behind all ranks.
   *
   * @param rank any rank of the service; only the number of ranks counts
   */
  static boolean canYield(Rank rank) {
    return LEVELS_PER_RANK * rank.places() < LEVELS;
  }

  /**
   * The level that is sent to the engine. With too many ranks for three levels each, {@link #READ}
   * loses its own level first, since read prompts seldom wait at the same engine as others. With
   * still more ranks, {@link #LATE} loses its own level too.
   */
  int level(Rank rank) {
    if (this == YIELDING) {
      return LEVELS - 1;
    }
    int levelsPerRank = Math.max(1, Math.min(LEVELS_PER_RANK, LEVELS / rank.places()));
    int offset =
        switch (levelsPerRank) {
          case 1 -> 0;
          case 2 -> this == LATE ? 1 : 0;
          default -> ordinal();
        };
    return Math.min(LEVELS - 1, levelsPerRank * rank.place() + offset);
  }
}
