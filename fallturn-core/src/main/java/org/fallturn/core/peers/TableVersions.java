package org.fallturn.core.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fallturn.core.port.feed.StorePosition;

/**
 * The newest version of each followed table that any node has seen, and the latest time, by the
 * store's clock, at which the store confirmed to any node that there was no newer one. A node whose
 * own version is older than the newest has missed a change. A table whose confirmed time does not
 * advance is watched by no node.
 *
 * <p>Invariants: all versions and times are of one era of the store, and within it they never
 * decrease, so that nodes may repeat what they have received. The era never decreases either; with
 * a later one everything is forgotten. Once an era is known, reports without an era are ignored:
 * nodes of the build that sends none would announce versions of an earlier era. Thread-safe.
 */
public final class TableVersions {

  /**
   * Marks a confirmation. Builds that do not know confirmations pass them on as versions of a table
   * with this suffix in its name.
   */
  private static final String CONFIRMED_SUFFIX = "@";

  /**
   * The number of tags. A tag distinguishes confirmations of several nodes at the same time, and
   * lets a node recognize its own.
   */
  private static final int TAG_COUNT = 1 << 10;

  private final Map<String, Long> newest = new HashMap<>();
  private final Map<String, Long> newestFromPeers = new HashMap<>();
  private final Map<String, Long> peerReportedAtNanos = new HashMap<>();
  private final AtomicBoolean hasUnsent = new AtomicBoolean();
  private final int tag;
  private long era;
  private volatile Runnable onNewerVersion = () -> {};

  /**
   * Creates the versions of a node that has received nothing.
   *
   * @param node name of this node
   */
  public TableVersions(String node) {
    this.tag = Math.floorMod(node.hashCode(), TAG_COUNT);
  }

  /**
   * Sets a callback that runs after each newer version that this node has seen, and each newer
   * version or time that other nodes report, on the thread that learned of it.
   */
  public void setOnNewerVersion(Runnable callback) {
    onNewerVersion = callback;
  }

  /** Handles a change that this node has seen. */
  public void onSeen(String table, StorePosition change) {
    if (raise(table, change)) {
      hasUnsent.set(true);
      onNewerVersion.run();
    }
  }

  private synchronized boolean raise(String table, StorePosition change) {
    boolean began = beginEra(change.era());
    return change.era() == era && raise(newest, table, change.version()) || began;
  }

  /**
   * Handles the store's answer to this node that there is no newer version.
   *
   * @param answered the position of the answer
   * @param storeMillis time of the store's clock in ms
   */
  public synchronized void onConfirmed(String table, StorePosition answered, long storeMillis) {
    beginEra(answered.era());
    if (answered.era() == era
        && raise(newest, table + CONFIRMED_SUFFIX, storeMillis * TAG_COUNT + tag)) {
      hasUnsent.set(true);
    }
  }

  /**
   * Begins an era if it is later than the known one. What was known of an earlier one says nothing
   * of this one, since versions are issued again.
   */
  private boolean beginEra(long begun) {
    if (begun <= era) {
      return false;
    }
    era = begun;
    newest.clear();
    newestFromPeers.clear();
    peerReportedAtNanos.clear();
    return true;
  }

  /**
   * Handles the versions that another node reported.
   *
   * @return whether any of them was newer
   */
  boolean onPeerReport(KnownVersions reported, long nowNanos) {
    boolean learned = learn(reported, nowNanos);
    if (learned) {
      onNewerVersion.run();
    }
    return learned;
  }

  private synchronized boolean learn(KnownVersions reported, long nowNanos) {
    boolean learned = beginEra(reported.era());
    if (reported.era() != era) {
      return learned;
    }
    for (Map.Entry<String, Long> entry : reported.versions().entrySet()) {
      learned |= raise(newest, entry.getKey(), entry.getValue());
      if (!isOwn(entry) && raise(newestFromPeers, entry.getKey(), entry.getValue())) {
        peerReportedAtNanos.put(entry.getKey(), nowNanos);
      }
    }
    return learned;
  }

  /**
   * Returns whether this node made the confirmation. It comes back from others, but still does not
   * count as a confirmation by them.
   */
  private boolean isOwn(Map.Entry<String, Long> reported) {
    return reported.getKey().endsWith(CONFIRMED_SUFFIX)
        && Math.floorMod(reported.getValue(), TAG_COUNT) == tag;
  }

  private static boolean raise(Map<String, Long> values, String name, long value) {
    Long previous = values.get(name);
    if (previous != null && previous >= value) {
      return false;
    }
    values.put(name, value);
    return true;
  }

  /** Returns whether this node has learned something from the store since the last call. */
  boolean takeUnsent() {
    return hasUnsent.getAndSet(false);
  }

  /** The latest era of the store that any node has seen; 0 when none is known. */
  public synchronized long era() {
    return era;
  }

  /**
   * The newest change of a table that any node has seen; version 0 of the era when none has seen
   * any.
   */
  public synchronized StorePosition newest(String table) {
    return new StorePosition(era, newest.getOrDefault(table, 0L));
  }

  /**
   * The time in ns since another node reported that the store had answered it; {@link
   * Long#MAX_VALUE} if none did.
   */
  public synchronized long sinceConfirmedByOthers(String table, long nowNanos) {
    Long at = peerReportedAtNanos.get(table + CONFIRMED_SUFFIX);
    return at == null ? Long.MAX_VALUE : Math.max(0, nowNanos - at);
  }

  /** The versions of all tables, with their confirmations. */
  synchronized KnownVersions all() {
    return new KnownVersions(era, newest);
  }
}
