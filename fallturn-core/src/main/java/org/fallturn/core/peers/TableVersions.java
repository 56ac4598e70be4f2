package org.fallturn.core.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The newest change of each followed table that any node has seen, and the latest time of the
 * store's clock at which any node knew that there was no newer one. A node whose own position is
 * before the newest change has missed one; a table whose time stands still is watched by nobody.
 *
 * <p>Invariant: neither a version nor a time goes back, so that nodes may repeat what they have
 * heard. Thread-safe.
 */
public final class TableVersions {

  /** Builds that know no confirmations pass them on as versions of a table of this name. */
  private static final String CONFIRMED_SUFFIX = "@";

  /** Tells confirmations of several nodes at the same time apart, and those of its own. */
  private static final int TAGS = 1 << 10;

  private final Map<String, Long> newest = new ConcurrentHashMap<>();
  private final Map<String, Long> newestTold = new ConcurrentHashMap<>();
  private final Map<String, Long> toldAtNanos = new ConcurrentHashMap<>();
  private final AtomicBoolean hasNews = new AtomicBoolean();
  private final int tag;
  private volatile Runnable onNews = () -> {};

  /**
   * What a node knows that has heard nothing.
   *
   * @param node its name
   */
  public TableVersions(String node) {
    this.tag = Math.floorMod(node.hashCode(), TAGS);
  }

  /** Calls back after each newer change or time that is learned, on the thread that learns it. */
  public void setOnNewerVersion(Runnable callback) {
    onNews = callback;
  }

  /** This node has seen a change. */
  public void onSeen(String table, long version) {
    if (raise(newest, table, version)) {
      hasNews.set(true);
    }
  }

  /** The store answered this node, when its clock showed this time. */
  public void onConfirmed(String table, long storeMillis) {
    if (raise(newest, table + CONFIRMED_SUFFIX, storeMillis * TAGS + tag)) {
      hasNews.set(true);
    }
  }

  /**
   * Another node told.
   *
   * @return whether anything of it was new
   */
  boolean onPeerReport(Map<String, Long> told, long nowNanos) {
    boolean news = false;
    for (Map.Entry<String, Long> entry : told.entrySet()) {
      news |= raise(newest, entry.getKey(), entry.getValue());
      if (!isOwn(entry) && raise(newestTold, entry.getKey(), entry.getValue())) {
        toldAtNanos.put(entry.getKey(), nowNanos);
      }
    }
    if (news) {
      onNews.run();
    }
    return news;
  }

  /** What this node confirmed comes back from others, which does not make it theirs. */
  private boolean isOwn(Map.Entry<String, Long> told) {
    return told.getKey().endsWith(CONFIRMED_SUFFIX) && Math.floorMod(told.getValue(), TAGS) == tag;
  }

  private static boolean raise(Map<String, Long> values, String name, long value) {
    Long before = values.get(name);
    if (before != null && before >= value) {
      return false;
    }
    values.merge(name, value, Math::max);
    return true;
  }

  /** Whether this node has learned something of the store since the last call. */
  boolean takeNews() {
    return hasNews.getAndSet(false);
  }

  /** The newest change of a table that was seen by any node; 0 when none was. */
  public long newest(String table) {
    return newest.getOrDefault(table, 0L);
  }

  /** Time since another node told that the store had answered; the greatest value for never. */
  public long sinceConfirmedByOthers(String table, long nowNanos) {
    Long at = toldAtNanos.get(table + CONFIRMED_SUFFIX);
    return at == null ? Long.MAX_VALUE : Math.max(0, nowNanos - at);
  }

  /** All tables, with what is confirmed of them. */
  Map<String, Long> all() {
    return new HashMap<>(newest);
  }
}
