package org.fallturn.core.routing;

import java.util.Optional;

/**
 * On whose behalf a request runs.
 *
 * @param tenant the tenant whose key it bears; empty where none is needed
 * @param keyHidden whether its key is a matter of this system, so that no engine may see it
 */
public record Caller(Optional<Tenant> tenant, boolean keyHidden) {

  /**
   * No tenants are configured: what the request says of its sender is between it and the engine.
   */
  public static final Caller UNCHECKED = new Caller(Optional.empty(), false);

  /** A request without a key on a route that needs none. */
  public static final Caller ANONYMOUS = new Caller(Optional.empty(), true);

  /** A request that bears a key of this tenant. */
  public static Caller of(Tenant tenant) {
    return new Caller(Optional.of(tenant), true);
  }
}
