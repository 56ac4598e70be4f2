package org.fallturn.node.lease;

import java.util.Map;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.Authority;

/**
 * The rights to order that this node has, written by the lease duty and read by the order duty
 * right before each send. Thread-safe.
 */
final class AuthorityBoard {

  private volatile Map<PoolId, Authority> authorities = Map.of();

  void publish(Map<PoolId, Authority> present) {
    if (!present.equals(authorities)) {
      authorities = Map.copyOf(present);
    }
  }

  Map<PoolId, Authority> authorities() {
    return authorities;
  }

  boolean permits(PoolId pool, Epoch epoch, long nowNanos) {
    Authority authority = authorities.get(pool);
    return authority != null && authority.epoch().equals(epoch) && authority.permits(nowNanos);
  }
}
