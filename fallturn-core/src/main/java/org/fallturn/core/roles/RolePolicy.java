package org.fallturn.core.roles;

import java.util.List;
import org.fallturn.core.configuration.PoolPolicyRecord;

/**
 * Decides which engines of a pool prefill and which decode. One instance belongs to one pool and
 * one leadership and may remember earlier observations; it is called by one thread, about once per
 * observation window, with rising times. It must not name an engine that is unavailable or
 * changing.
 */
public interface RolePolicy {
  /**
   * The role changes to begin now, most useful first; empty for none. The caller drains each engine
   * before its change is ordered.
   *
   * @param observation what the leader sees
   * @param policy what the operators have set for the pool's model
   */
  List<RoleChange> decide(PoolObservation observation, PoolPolicyRecord policy);
}
