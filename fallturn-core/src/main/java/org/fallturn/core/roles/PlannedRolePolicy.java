package org.fallturn.core.roles;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.fallturn.core.configuration.PoolPolicyRecord;

/**
 * Baseline: follows a plan made beforehand, for an oracle that knows the coming mix. Immutable; any
 * thread may call.
 */
public final class PlannedRolePolicy implements RolePolicy {
  private final NavigableMap<Long, Integer> prefillFromNanos;

  /**
   * A policy that follows a plan.
   *
   * @param prefillFromNanos from each time on, how many engines shall prefill
   */
  public PlannedRolePolicy(NavigableMap<Long, Integer> prefillFromNanos) {
    this.prefillFromNanos = new TreeMap<>(prefillFromNanos);
  }

  @Override
  public List<RoleChange> decide(PoolObservation observation, PoolPolicyRecord policy) {
    Map.Entry<Long, Integer> step = prefillFromNanos.floorEntry(observation.observedAtNanos());
    if (step == null) {
      return List.of();
    }
    return RoleMoves.towards(step.getValue(), observation.engines(), policy);
  }
}
