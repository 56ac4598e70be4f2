package org.fallturn.node.placement;

import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PoolCapacity;
import org.fallturn.core.placement.PoolDigest;

/**
 * Publishes the digest of a pool: at once when its leadership begins, else at most once in the
 * interval, and within it only on a significant change. Used by the leaders' duty thread.
 */
final class DigestPacer {
  private static final int REFRESH_FACTOR = 5;
  private static final double SIGNIFICANT = 0.2;

  private final PoolId pool;
  private final Epoch epoch;
  private final LeaderParts parts;
  private final NetworkAddress peerAddress;
  private final long intervalNanos;
  private PoolCapacity published;
  private long publishedNanos;
  private long sequence;

  DigestPacer(PoolId pool, Epoch epoch, LeaderParts parts) {
    this.pool = pool;
    this.epoch = epoch;
    this.parts = parts;
    this.peerAddress = parts.peerAddress().get();
    this.intervalNanos = parts.settings().digestInterval().toNanos();
  }

  void publishWhenDue(PoolCapacity capacity, long nowNanos) {
    if (!isDue(capacity, nowNanos)) {
      return;
    }
    published = capacity;
    publishedNanos = nowNanos;
    sequence++;
    parts
        .digests()
        .publish(
            new PoolDigest(
                pool,
                epoch,
                sequence,
                parts.self(),
                peerAddress,
                capacity.prefillEngines(),
                capacity.decodeEngines(),
                capacity.freePrefillTokens(),
                capacity.freeDecodeSlots(),
                capacity.queued()));
  }

  private boolean isDue(PoolCapacity capacity, long nowNanos) {
    if (published == null) {
      return true;
    }
    long age = nowNanos - publishedNanos;
    boolean changed = age >= intervalNanos && isSignificant(capacity);
    return changed || age >= REFRESH_FACTOR * intervalNanos;
  }

  private boolean isSignificant(PoolCapacity capacity) {
    boolean roles =
        capacity.prefillEngines() != published.prefillEngines()
            || capacity.decodeEngines() != published.decodeEngines();
    return roles
        || differs(capacity.queued(), published.queued())
        || differs(capacity.freeDecodeSlots(), published.freeDecodeSlots())
        || differs(capacity.freePrefillTokens(), published.freePrefillTokens());
  }

  private static boolean differs(long now, long before) {
    return Math.abs(now - before) > SIGNIFICANT * Math.max(now, before);
  }
}
