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
 * The keys that tenants hold in one version of the configuration. Immutable.
 *
 * <p>Invariant: only hashes of the keys are kept, so that neither a log line nor a heap dump shows
 * a key, and the time of a look-up says nothing about the keys that exist.
 */
public final class TenantKeys {

  /** Of the hash, 128 bits are kept: nobody finds another key with the same. */
  private static final int DIGEST_BYTES = 16;

  private static final TenantKeys NONE = new TenantKeys(false, Map.of());

  private final boolean configured;
  private final Map<String, Tenant> byDigest;

  private TenantKeys(boolean configured, Map<String, Tenant> byDigest) {
    this.configured = configured;
    this.byDigest = byDigest;
  }

  /** The configuration names no tenants, and no key is asked for. */
  public static TenantKeys none() {
    return NONE;
  }

  /** Keys of a configuration that names tenants. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects keys. One thread uses it. */
  public static final class Builder {

    private final Map<String, Tenant> byDigest = new HashMap<>();

    /** A tenant holds a key. */
    public Builder add(Tenant tenant, String key) {
      byDigest.put(digest(key), tenant);
      return this;
    }

    /** The keys that were added. */
    public TenantKeys build() {
      return new TenantKeys(true, Map.copyOf(byDigest));
    }
  }

  /**
   * Finds out on whose behalf a request runs. A key that nobody holds is refused on every route,
   * since it may be one that was taken away.
   *
   * @param key the key that the request bears, if any
   * @throws FallturnException UNAUTHENTICATED, naming no key
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

  /** The priorities that tenants have, the most urgent first. */
  List<Integer> priorities() {
    return byDigest.values().stream()
        .flatMap(tenant -> tenant.priority().stream().boxed())
        .distinct()
        .sorted()
        .toList();
  }

  /** How many keys there are. */
  public int size() {
    return byDigest.size();
  }

  private static String digest(String key) {
    Blake3 hash = Blake3.initHash().update(key.getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(hash.doFinalize(DIGEST_BYTES));
  }
}
