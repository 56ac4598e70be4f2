package org.fallturn.core.port.feed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What is believed of one table, and whether to read it whole or to follow its changes next.
 *
 * <p>Invariant: the position never goes back, and a row is replaced only by a later one. A whole
 * reading may be older than what is known, so it counts only from the known position on; and after
 * lost history it may still lag, so the table is read whole again several times. A reading of a
 * later era counts whatever its version, and {@link RestoredRows} corrects it for a while. Only the
 * thread that follows the table calls.
 */
public final class FeedTracker {

  private static final long[] CONFIRM_AFTER_MILLIS = {300, 1_000, 2_000, 4_000, 7_000, 10_000};
  private static final long PERIODIC_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** While other nodes tell which changes they have seen, a whole reading finds little. */
  private static final long PERIODIC_WHEN_TOLD_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<String, FeedRow> rows = new HashMap<>();
  private final Deque<Long> confirmAtNanos = new ArrayDeque<>();
  private final RestoredRows restored = new RestoredRows();
  private StorePosition position = StorePosition.NONE;
  private boolean known;
  private boolean readWhole = true;
  private long lastWholeNanos;
  private StorePosition newestChange = StorePosition.NONE;
  private long periodNanos = PERIODIC_NANOS;
  private boolean missedRows;

  /** Whether other nodes tell which changes they have seen. */
  public void setToldByOthers(boolean told) {
    periodNanos = told ? PERIODIC_WHEN_TOLD_NANOS : PERIODIC_NANOS;
  }

  /** The newest change of a row that was seen, dropped rows among them. */
  public StorePosition newestChange() {
    return newestChange;
  }

  /** Whether the table should be read whole now, rather than followed. */
  public boolean shouldReadWhole(long nowNanos) {
    return readWhole
        || nowNanos - lastWholeNanos >= periodNanos
        || !confirmAtNanos.isEmpty() && nowNanos - confirmAtNanos.peekFirst() >= 0;
  }

  /** Longest time to wait for a change, so that the next whole reading is not late. */
  public long waitNanos(long nowNanos, long mostNanos) {
    long next = lastWholeNanos + periodNanos;
    if (!confirmAtNanos.isEmpty()) {
      next = Math.min(next, confirmAtNanos.peekFirst());
    }
    return Math.max(0, Math.min(mostNanos, next - nowNanos));
  }

  /** Whether the table has been read at all. */
  public boolean known() {
    return known;
  }

  /** Position reached. */
  public StorePosition position() {
    return position;
  }

  /** The rows believed to be there. */
  public Collection<FeedRow> rows() {
    return restored.correct(rows);
  }

  /** The rows that the store had at the position, which is what other nodes are told. */
  public List<FeedRow> storedRows() {
    return List.copyOf(rows.values());
  }

  /**
   * Ends corrections of a restored table whose time is over.
   *
   * @return whether anything that is believed changed
   */
  public boolean expireCorrections(long nowNanos) {
    return restored.expire(nowNanos);
  }

  /** Longest time to wait until {@link #expireCorrections} is due. */
  public long untilExpiryNanos(long nowNanos, long mostNanos) {
    return Math.min(mostNanos, restored.nanosToNextExpiry(nowNanos));
  }

  /**
   * Takes a whole reading.
   *
   * @return whether anything that is believed changed
   */
  public boolean onWhole(FeedAnswer answer, long nowNanos) {
    if (position.isAfter(answer.position())) {
      return false;
    }
    lastWholeNanos = nowNanos;
    while (!confirmAtNanos.isEmpty() && nowNanos - confirmAtNanos.peekFirst() >= 0) {
      confirmAtNanos.removeFirst();
    }
    readWhole = false;
    boolean restoredNow = known && answer.position().isOfLaterEraThan(position);
    boolean changed = !known || restoredNow || differs(answer.rows());
    if (restoredNow) {
      restored.onRestored(rows(), answer.rows(), nowNanos);
      newestChange = answer.position().atVersion(0);
    } else {
      onMissing(answer, nowNanos);
    }
    known = true;
    position = answer.position();
    rows.clear();
    answer.rows().forEach(row -> rows.put(row.key(), row));
    answer.rows().forEach(this::onSeen);
    rows.values().forEach(restored::onPresent);
    return changed;
  }

  private void onSeen(FeedRow row) {
    newestChange = StorePosition.max(newestChange, row.position());
  }

  /** A whole reading does not say when a row was dropped; others must hear of it all the same. */
  private void onMissing(FeedAnswer answer, long nowNanos) {
    Map<String, FeedRow> dropped = new HashMap<>(rows);
    answer.rows().forEach(row -> dropped.remove(row.key()));
    dropped.values().forEach(row -> restored.onRemoved(row, nowNanos));
    if (!dropped.isEmpty()) {
      newestChange = StorePosition.max(newestChange, answer.position());
    }
  }

  private boolean differs(List<FeedRow> read) {
    return read.size() != rows.size()
        || read.stream()
            .anyMatch(
                row ->
                    !rows.containsKey(row.key())
                        || !rows.get(row.key()).position().equals(row.position()));
  }

  /**
   * Takes changes.
   *
   * @return whether anything that is believed changed
   */
  public boolean onChanges(FeedAnswer answer, long nowNanos) {
    boolean changed = false;
    Set<String> knownBefore = Set.copyOf(rows.keySet());
    for (FeedRow row : answer.rows()) {
      onSeen(row);
      FeedRow before = rows.get(row.key());
      if (before != null && !row.position().isAfter(before.position())) {
        continue;
      }
      if (row.gone()) {
        boolean missed = !knownBefore.contains(row.key()) && row.position().isAfter(position);
        missedRows |= missed;
        changed |= rows.remove(row.key()) != null || missed;
        if (before != null) {
          restored.onRemoved(before, nowNanos);
        }
      } else {
        rows.put(row.key(), row);
        restored.onPresent(row);
        changed = true;
      }
    }
    position = StorePosition.max(position, answer.position());
    return changed;
  }

  /**
   * Whether a row came and went since the last call, so that its value was never among {@link
   * #rows}.
   */
  public boolean takeMissedRows() {
    boolean missed = missedRows;
    missedRows = false;
    return missed;
  }

  /** The changes after the position are gone: read whole, and again while readings may lag. */
  public void onHistoryLost(long nowNanos) {
    readWhole = true;
    confirmAtNanos.clear();
    List<Long> times = new ArrayList<>();
    for (long millis : CONFIRM_AFTER_MILLIS) {
      times.add(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
    }
    confirmAtNanos.addAll(times);
  }

  /** A call failed: what happened meanwhile may have been missed. */
  public void onOutage() {
    readWhole = true;
  }
}
