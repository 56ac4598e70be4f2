package org.fallturn.core.roles;

import java.util.List;
import org.fallturn.core.configuration.PoolPolicyRecord;

/** The role policy that changes nothing. */
public final class KeepRoles implements RolePolicy {
  @Override
  public List<RoleChange> decide(PoolObservation observation, PoolPolicyRecord policy) {
    return List.of();
  }
}
