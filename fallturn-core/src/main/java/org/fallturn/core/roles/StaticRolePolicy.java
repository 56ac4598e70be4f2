package org.fallturn.core.roles;

import java.util.List;
import org.fallturn.core.configuration.PoolPolicyRecord;

/**
 * Baseline: a fixed number of prefill engines. It changes roles only to reach and keep that number.
 * Stateless; any thread may call.
 */
public final class StaticRolePolicy implements RolePolicy {
  private final int prefillEngines;

  /** A policy that wants this number of prefill engines. */
  public StaticRolePolicy(int prefillEngines) {
    this.prefillEngines = prefillEngines;
  }

  @Override
  public List<RoleChange> decide(PoolObservation observation, PoolPolicyRecord policy) {
    return RoleMoves.towards(prefillEngines, observation.engines(), policy);
  }
}
