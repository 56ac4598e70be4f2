package org.fallturn.rehearsal.simulator;

import java.util.List;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.CacheEvents.CacheEvent;

/** Numbers the cache events of one engine, from 1 in each incarnation. Not thread-safe. */
final class CacheEventLog {
  private long incarnation;
  private long last;

  CacheEvents append(long engineIncarnation, SharedPrefix prefix, boolean stored) {
    if (incarnation != engineIncarnation) {
      incarnation = engineIncarnation;
      last = 0;
    }
    last++;
    CacheEvent.Kind kind = stored ? CacheEvent.Kind.STORED : CacheEvent.Kind.EVICTED;
    return new CacheEvents(incarnation, last, List.of(new CacheEvent(kind, prefix.hashes())));
  }
}
