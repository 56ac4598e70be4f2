package org.fallturn.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.Blake3;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/**
 * The API keys of the tenants in one version of the configuration; authenticates callers.
 * Immutable.
 *
 * <p>Invariant: only hashes of the keys are kept, so that neither a log line nor a heap dump shows
 * a key, and the duration of a look-up reveals nothing about the keys that exist.
 */
public final class TenantKeys {

  /** Length of the kept part of a hash: with 128 bits it is infeasible to find a matching key. */
  private static final int DIGEST_BYTES = 16;

  private static final TenantKeys NONE = new TenantKeys(false, Map.of());

  private final boolean configured;
  private final Map<String, Tenant> byDigest;

  private TenantKeys(boolean configured, Map<String, Tenant> byDigest) {
    this.configured = configured;
    this.byDigest = byDigest;
  }

  /** Returns the keys of a configuration without tenants, which accepts requests without a key. */
  public static TenantKeys none() {
    return NONE;
  }

  /** Returns a builder for the keys of a configuration that has tenants. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects keys. Not thread-safe. */
  public static final class Builder {

    private final Map<String, Tenant> byDigest = new HashMap<>();

    /** Adds a key of a tenant. */
    public Builder add(Tenant tenant, String key) {
      byDigest.put(digest(key), tenant);
      return this;
    }

    /** Returns the keys that were added. */
    public TenantKeys build() {
      return new TenantKeys(true, Map.copyOf(byDigest));
    }
  }

  /**
   * Returns the sender of a request. An unknown key is refused on every route, even on one that
   * needs no key, since it may have been revoked.
   *
   * @param route the route that the request matches
   * @param key the key that the request bears, if any
   * @throws FallturnException UNAUTHENTICATED when the key is unknown, or missing on a route that
   *     needs one; the message does not contain the key
   */
  public Caller authenticate(Route route, Optional<String> key) throws FallturnException {
    if (!configured) {
      return Caller.UNCHECKED;
    }
    if (key.isPresent()) {
      Tenant tenant = byDigest.get(digest(key.get()));
      if (tenant == null) {
        throw new FallturnException(ErrorKind.UNAUTHENTICATED, "no tenant holds the key");
      }
      return Caller.of(tenant);
    }
    if (!route.openToAll()) {
      throw new FallturnException(ErrorKind.UNAUTHENTICATED, "the route needs a key");
    }
    return Caller.ANONYMOUS;
  }

  /** Returns the distinct priorities of tenants, the most urgent first. */
  List<Integer> priorities() {
    return byDigest.values().stream()
        .flatMap(tenant -> tenant.priority().stream().boxed())
        .distinct()
        .sorted()
        .toList();
  }

  /** Returns the number of keys. */
  public int size() {
    return byDigest.size();
  }

  private static String digest(String key) {
    Blake3 hash = Blake3.initHash().update(key.getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(hash.doFinalize(DIGEST_BYTES));
  }
}
