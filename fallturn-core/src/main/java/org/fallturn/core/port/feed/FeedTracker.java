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
import java.util.stream.Collectors;

/**
 * What is believed of one table, and whether to read it whole or to follow its changes next.
 *
 * <p>Invariant: the position never goes back, and a row is replaced only by a later one. A whole
 * reading may be older than what is known, so it counts only from the known position on; and after
 * lost history it may still lag, so the table is read whole again several times. Only the thread
 * that follows the table calls.
 */
public final class FeedTracker {

  private static final long[] CONFIRM_AFTER_MILLIS = {300, 1_000, 2_000, 4_000, 7_000, 10_000};
  private static final long PERIODIC_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** While other nodes tell which changes they have seen, a whole reading finds little. */
  private static final long PERIODIC_WHEN_TOLD_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<String, FeedRow> rows = new HashMap<>();
  private final Deque<Long> confirmAtNanos = new ArrayDeque<>();
  private long position;
  private boolean known;
  private boolean readWhole = true;
  private long lastWholeNanos;
  private long newestChange;
  private long periodNanos = PERIODIC_NANOS;

  /** Whether other nodes tell which changes they have seen. */
  public void setToldByOthers(boolean told) {
    periodNanos = told ? PERIODIC_WHEN_TOLD_NANOS : PERIODIC_NANOS;
  }

  /** The newest change of a row that was seen, dropped rows among them. */
  public long newestChange() {
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
  public long position() {
    return position;
  }

  /** The rows believed to be there. */
  public Collection<FeedRow> rows() {
    return List.copyOf(rows.values());
  }

  /**
   * Takes a whole reading.
   *
   * @return whether anything that is believed changed
   */
  public boolean onWhole(FeedAnswer answer, long nowNanos) {
    if (answer.version() < position) {
      return false;
    }
    lastWholeNanos = nowNanos;
    while (!confirmAtNanos.isEmpty() && nowNanos - confirmAtNanos.peekFirst() >= 0) {
      confirmAtNanos.removeFirst();
    }
    readWhole = false;
    boolean changed = !known || differs(answer.rows());
    if (known && dropsAny(answer.rows())) {
      newestChange = Math.max(newestChange, answer.version());
    }
    known = true;
    position = answer.version();
    rows.clear();
    answer.rows().forEach(row -> rows.put(row.key(), row));
    answer.rows().forEach(this::onSeen);
    return changed;
  }

  private void onSeen(FeedRow row) {
    newestChange = Math.max(newestChange, row.version());
  }

  /** A whole reading does not say when a row was dropped; others must hear of it all the same. */
  private boolean dropsAny(List<FeedRow> read) {
    Set<String> kept = read.stream().map(FeedRow::key).collect(Collectors.toSet());
    return !kept.containsAll(rows.keySet());
  }

  private boolean differs(List<FeedRow> read) {
    return read.size() != rows.size()
        || read.stream()
            .anyMatch(
                row ->
                    !rows.containsKey(row.key()) || rows.get(row.key()).version() != row.version());
  }

  /**
   * Takes changes.
   *
   * @return whether anything that is believed changed
   */
  public boolean onChanges(FeedAnswer answer) {
    boolean changed = false;
    for (FeedRow row : answer.rows()) {
      onSeen(row);
      FeedRow before = rows.get(row.key());
      if (before != null && before.version() >= row.version()) {
        continue;
      }
      if (row.gone()) {
        changed |= rows.remove(row.key()) != null;
      } else {
        rows.put(row.key(), row);
        changed = true;
      }
    }
    position = Math.max(position, answer.version());
    return changed;
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
