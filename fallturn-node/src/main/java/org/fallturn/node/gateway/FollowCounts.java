package org.fallturn.node.gateway;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the calls that following the tables of the store has cost, by kind. Every kind is a
 * metric. Thread-safe.
 */
final class FollowCounts {

  /** The kinds of calls and their outcomes. */
  enum Kind {
    /** This node asked the store for a whole table. */
    STORE_WHOLE,
    /** A whole table from the store was older than the one that this node has. */
    STORE_STALE,
    /** A watch of the store returned rows. */
    STORE_WATCH_ROWS,
    /** A watch of the store returned no rows. */
    STORE_WATCH_EMPTY,
    /** This node ended a watch of the store that it could no longer rely on. */
    STORE_WATCH_ENDED,
    /** The store was read to confirm that the list of engines is complete. */
    STORE_CONFIRMATION,
    /** A call to the store, or taking its answer, failed. */
    STORE_FAILED,
    /** This node asked another node and got newer rows. */
    PEER_ROWS,
    /** This node asked another node and got nothing newer. */
    PEER_NOTHING
  }

  private static final String PREFIX = "follow_";

  private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);

  FollowCounts() {
    for (Kind kind : Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  void count(Kind kind) {
    counts.get(kind).increment();
  }

  long of(Kind kind) {
    return counts.get(kind).sum();
  }

  void addTo(GatewayMetrics metrics) {
    for (Kind kind : Kind.values()) {
      metrics.gauge(PREFIX + kind.name().toLowerCase(Locale.ROOT), () -> of(kind));
    }
  }
}
