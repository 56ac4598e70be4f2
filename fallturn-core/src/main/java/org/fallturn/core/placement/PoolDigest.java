package org.fallturn.core.placement;

import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;

/**
 * What a pool's leader tells every node about its pool, carried on gossip. A digest of a higher
 * epoch, then of a higher sequence, replaces an older one.
 *
 * @param pool the pool
 * @param epoch the leadership
 * @param sequence rising within the epoch
 * @param leader the node that leads the pool
 * @param leaderAddress its peer port
 * @param prefillEngines engines that prefill now
 * @param decodeEngines engines that decode now
 * @param freePrefillTokens prompt tokens the pool could take on without delaying a deadline
 * @param freeDecodeSlots requests the pool could decode at once beside those it has
 * @param queued requests waiting at the leader
 */
public record PoolDigest(
    PoolId pool,
    Epoch epoch,
    long sequence,
    NodeId leader,
    NetworkAddress leaderAddress,
    int prefillEngines,
    int decodeEngines,
    long freePrefillTokens,
    int freeDecodeSlots,
    int queued) {

  /** Whether this digest replaces {@code other}. */
  public boolean isNewerThan(PoolDigest other) {
    int byEpoch = epoch.compareTo(other.epoch);
    return byEpoch != 0 ? byEpoch > 0 : sequence > other.sequence;
  }
}
