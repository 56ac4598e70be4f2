package org.fallturn.node.server;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PoolDigest;

/**
 * The newest digest of each pool, from gossip and from this node's own leaderships. A digest never
 * replaces a newer one. Thread-safe.
 */
final class DigestBoard {

  private final Map<PoolId, PoolDigest> digests = new ConcurrentHashMap<>();

  /** Keeps a digest unless a newer one is known. */
  void add(PoolDigest digest) {
    digests.merge(
        digest.pool(), digest, (known, added) -> added.isNewerThan(known) ? added : known);
  }

  /** The newest digest of each pool; a live view. */
  Map<PoolId, PoolDigest> digests() {
    return digests;
  }
}
