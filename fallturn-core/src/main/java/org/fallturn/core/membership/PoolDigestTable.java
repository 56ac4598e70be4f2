package org.fallturn.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PoolDigest;

/**
 * The newest digest of each pool, and when each was last spread, so that load figures are spread at
 * a bounded pace and a new leader at once. Not thread-safe.
 */
final class PoolDigestTable {

  private final Map<PoolId, PoolDigest> digests = new HashMap<>();
  private final Map<PoolId, Long> spreadInZone = new HashMap<>();
  private final Map<PoolId, Long> spreadToOthers = new HashMap<>();

  /** What a digest changed. */
  enum Change {
    /** Nothing: it is not newer. */
    NONE,
    /** Load figures. */
    LOAD,
    /** The leadership. */
    LEADER
  }

  Change merge(PoolDigest digest) {
    PoolDigest known = digests.get(digest.pool());
    if (known != null && !digest.isNewerThan(known)) {
      return Change.NONE;
    }
    digests.put(digest.pool(), digest);
    return known == null || known.epoch().compareTo(digest.epoch()) < 0
        ? Change.LEADER
        : Change.LOAD;
  }

  Map<PoolId, PoolDigest> all() {
    return digests;
  }

  Optional<PoolDigest> get(PoolId pool) {
    return Optional.ofNullable(digests.get(pool));
  }

  /** Whether a digest's load figures may be spread in the zone now; notes that they are. */
  boolean maySpreadInZone(PoolId pool, long nowNanos, long periodNanos) {
    return due(spreadInZone, pool, nowNanos, periodNanos);
  }

  /** Whether a digest's load figures may be spread to other zones now; notes that they are. */
  boolean maySpreadToOthers(PoolId pool, long nowNanos, long periodNanos) {
    return due(spreadToOthers, pool, nowNanos, periodNanos);
  }

  private static boolean due(Map<PoolId, Long> spread, PoolId pool, long now, long period) {
    Long last = spread.get(pool);
    if (last != null && now - last < period) {
      return false;
    }
    spread.put(pool, now);
    return true;
  }

  static GossipPayload.PoolDigestUpdate payload(PoolDigest digest) {
    return new GossipPayload.PoolDigestUpdate(
        digest.pool(),
        digest.epoch().value(),
        digest.sequence(),
        digest.leader(),
        digest.leaderAddress(),
        digest.prefillEngines(),
        digest.decodeEngines(),
        digest.freePrefillTokens(),
        digest.freeDecodeSlots(),
        digest.queued());
  }

  static PoolDigest digest(GossipPayload.PoolDigestUpdate update) {
    return new PoolDigest(
        update.pool(),
        new Epoch(update.epoch()),
        update.sequence(),
        update.leader(),
        update.leaderAddress(),
        update.prefillEngines(),
        update.decodeEngines(),
        update.freePrefillTokens(),
        update.freeDecodeSlots(),
        update.queued());
  }
}
