package org.fallturn.core.port.engine;

import java.util.List;

/**
 * Cache events of an engine, {@code GET /v1/cache-events?after=N}. They come late; a gap between
 * {@code after + 1} and {@code first} means that events were lost and the follower must reset what
 * it believes of this engine.
 *
 * @param incarnation the engine's incarnation
 * @param first number of the first event in {@code events}
 * @param events in order, numbers rising by one
 */
public record CacheEvents(long incarnation, long first, List<CacheEvent> events) {

  /** A private copy of the events. */
  public CacheEvents {
    events = List.copyOf(events);
  }

  /**
   * One change of the prefix cache.
   *
   * @param kind stored or evicted
   * @param blocks prefix hashes as {@link org.fallturn.core.domain.PrefixBlocks} names them
   */
  public record CacheEvent(Kind kind, List<Long> blocks) {

    /** A private copy of the blocks. */
    public CacheEvent {
      blocks = List.copyOf(blocks);
    }

    /** What happened to the blocks. */
    public enum Kind {
      /** Now in the cache. */
      STORED,
      /** No longer in the cache. */
      EVICTED
    }
  }
}
