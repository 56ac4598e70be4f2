package org.fallturn.core.streams;

import org.fallturn.core.membership.RendezvousHash;

/**
 * Where a stream began.
 *
 * @param key identifies the request that began it; see {@link #key}
 * @param service the service whose engine runs it
 * @param softwareVersion version of that engine's software
 */
public record StreamOrigin(long key, String service, String softwareVersion) {

  /**
   * Returns the key of a request. It covers the tenant, so that naming a request of another tenant
   * finds nothing.
   *
   * @param tenant name of the tenant that sent the request; empty where there are no tenants
   * @param requestId id that the caller gave the request
   */
  public static long key(String tenant, String requestId) {
    return RendezvousHash.weight(tenant, requestId);
  }
}
