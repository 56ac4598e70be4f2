package org.fallturn.node.placement;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PoolDigest;

/** The leaders as the pools' digests on gossip name them. Thread-safe as its source is. */
public final class DigestLeaderDirectory implements LeaderDirectory {
  private final Supplier<Map<PoolId, PoolDigest>> source;

  /**
   * Reads the newest digests.
   *
   * @param source gives an immutable map of the newest digest of each pool
   */
  public DigestLeaderDirectory(Supplier<Map<PoolId, PoolDigest>> source) {
    this.source = source;
  }

  @Override
  public Optional<Leader> leader(PoolId pool) {
    return Optional.ofNullable(source.get().get(pool))
        .map(digest -> new Leader(digest.leader(), digest.leaderAddress()));
  }

  @Override
  public Map<PoolId, PoolDigest> digests() {
    return source.get();
  }
}
