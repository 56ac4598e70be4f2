package org.fallturn.core.placement;

/** Port through which a pool's leader tells the fleet its digest. Thread-safe, never blocks. */
@FunctionalInterface
public interface PoolDigestPublisher {
  /** Spreads a digest, best effort. */
  void publish(PoolDigest digest);
}
