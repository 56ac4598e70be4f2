package org.fallturn.core.peers;

import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * When messages of one direction bear what is known of the tables: at once when it is new, and
 * again now and then, since a datagram may be lost. In every message it would be a good part of the
 * bytes between zones.
 */
final class TableVersionPublisher {

  /** Within which a lost message is made good. */
  private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final TableVersions tables;
  private boolean begun;
  private long lastNanos;

  TableVersionPublisher(TableVersions tables) {
    this.tables = tables;
  }

  /** What the messages that are sent now bear. */
  Map<String, Long> next(boolean news, long nowNanos) {
    if (begun && !news && nowNanos - lastNanos < REPEAT_NANOS) {
      return Map.of();
    }
    begun = true;
    lastNanos = nowNanos;
    return tables.all();
  }
}
