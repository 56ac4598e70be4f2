package org.fallturn.core.port.feed;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Corrects the rows of a store that was restored from a copy until its clients have written theirs
 * again.
 *
 * <p>Invariants: a row that the copy lacks, or that goes right after the restore, stays for {@link
 * #KEPT_NANOS} unless it is written before: the store drops rows that nobody could renew while it
 * was away, and their clients write them again. A row that the copy has and that had been removed
 * before the restore is left out for {@link #LEFT_OUT_NANOS} unless it is written again before. Not
 * thread-safe: only the thread that follows the table calls it.
 */
final class RestoredRows {

  /**
   * Less than the two seconds within which clients write their rows again: a row may have been
   * removed right after the restore, and an engine must be out of use two seconds after that.
   */
  static final long KEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** The store itself drops a row in this time whose client no longer renews it. */
  static final long LEFT_OUT_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Copies are a few seconds old. */
  private static final long REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<String, Long> removedAtNanos = new HashMap<>();
  private final Map<String, FeedRow> kept = new HashMap<>();
  private final Map<String, FeedRow> leftOut = new HashMap<>();
  private boolean restored;
  private long restoredNanos;

  /** Handles that the store no longer has a row. */
  void onRemoved(FeedRow row, long nowNanos) {
    boolean keeps = restored && nowNanos - restoredNanos < KEPT_NANOS;
    if (keeps && !row.equals(leftOut.get(row.key()))) {
      kept.put(row.key(), row);
    }
    leftOut.remove(row.key());
    removedAtNanos.put(row.key(), nowNanos);
  }

  /** Handles a row that the store has, as it was last written. */
  void onPresent(FeedRow row) {
    kept.remove(row.key());
    if (row.equals(leftOut.get(row.key()))) {
      return;
    }
    leftOut.remove(row.key());
    removedAtNanos.remove(row.key());
  }

  /**
   * Handles the first reading of a table in a later era.
   *
   * @param believed the rows in use so far
   * @param copied the rows of the restored store
   */
  void onRestored(Collection<FeedRow> believed, Collection<FeedRow> copied, long nowNanos) {
    kept.clear();
    leftOut.clear();
    restored = true;
    restoredNanos = nowNanos;
    removedAtNanos.values().removeIf(at -> nowNanos - at >= REMEMBERED_NANOS);
    believed.forEach(row -> kept.put(row.key(), row));
    for (FeedRow row : copied) {
      kept.remove(row.key());
      if (removedAtNanos.containsKey(row.key())) {
        leftOut.put(row.key(), row);
      }
    }
  }

  /** Returns the rows to use, given those that the store has. */
  Collection<FeedRow> correct(Map<String, FeedRow> stored) {
    Map<String, FeedRow> rows = new HashMap<>(kept);
    rows.putAll(stored);
    rows.values().removeIf(row -> row.equals(leftOut.get(row.key())));
    return List.copyOf(rows.values());
  }

  /** Ends the corrections whose time is over; returns whether there were any. */
  boolean expire(long nowNanos) {
    boolean expired = false;
    if (!kept.isEmpty() && nowNanos - restoredNanos >= KEPT_NANOS) {
      kept.clear();
      expired = true;
    }
    if (!leftOut.isEmpty() && nowNanos - restoredNanos >= LEFT_OUT_NANOS) {
      leftOut.keySet().forEach(removedAtNanos::remove);
      leftOut.clear();
      expired = true;
    }
    return expired;
  }

  /** Returns the time until a correction ends; {@link Long#MAX_VALUE} when there is none. */
  long nanosToNextExpiry(long nowNanos) {
    long sinceRestored = nowNanos - restoredNanos;
    if (!kept.isEmpty()) {
      return Math.max(0, KEPT_NANOS - sinceRestored);
    }
    return leftOut.isEmpty() ? Long.MAX_VALUE : Math.max(0, LEFT_OUT_NANOS - sinceRestored);
  }
}
