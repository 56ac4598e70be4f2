package org.fallturn.core.routing;

import java.util.Optional;

/**
 * The authenticated sender of a request.
 *
 * @param tenant the tenant whose key the request bears; empty when the request was let in without a
 *     key
 * @param keyHidden whether this system checks keys itself, so that the key is not passed on to an
 *     engine
 */
public record Caller(Optional<Tenant> tenant, boolean keyHidden) {

  /**
   * The sender when no tenants are configured: credentials in the request are not checked here and
   * are passed on to the engine.
   */
  public static final Caller UNCHECKED = new Caller(Optional.empty(), false);

  /** The sender of a request without a key on a route that needs none. */
  public static final Caller ANONYMOUS = new Caller(Optional.empty(), true);

  /** Returns the sender of a request that bears a key of this tenant. */
  public static Caller of(Tenant tenant) {
    return new Caller(Optional.of(tenant), true);
  }
}
