package org.fallturn.core.peers;

import java.util.concurrent.TimeUnit;

/**
 * Decides which messages of one direction contain the known table versions: the next ones after a
 * change, and one now and then, since a datagram may be lost. In every message they would be a
 * large part of the bytes between zones.
 */
final class TableVersionPublisher {

  /** The time within which a lost message is made good. */
  private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final TableVersions tables;
  private boolean started;
  private long lastIncludedNanos;

  TableVersionPublisher(TableVersions tables) {
    this.tables = tables;
  }

  /**
   * The table versions that the messages sent now contain; empty when they contain none.
   *
   * @param changed whether a version has changed since the last call
   */
  KnownVersions next(boolean changed, long nowNanos) {
    if (started && !changed && nowNanos - lastIncludedNanos < REPEAT_NANOS) {
      return KnownVersions.none();
    }
    started = true;
    lastIncludedNanos = nowNanos;
    return tables.all();
  }
}
