package org.fallturn.node.gateway;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** What following the tables of the store has cost, by kind. Thread-safe. */
final class FollowCounts {

  /** What is counted. */
  enum Kind {
    /** The store was asked for a whole table. */
    STORE_WHOLE,
    /** A watch of the store ended with rows. */
    STORE_WATCH_ROWS,
    /** A watch of the store ended without any. */
    STORE_WATCH_EMPTY,
    /** This node ended a watch of the store. */
    STORE_WATCH_ENDED,
    /** The store did not answer, or refused. */
    STORE_FAILED,
    /** Another node was asked and knew something newer. */
    PEER_ROWS,
    /** Another node was asked in vain. */
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
