package org.fallturn.core.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.fallturn.core.domain.TenantName;

/**
 * A tenant and what it may use in all.
 *
 * @param tenant its name
 * @param requestsPerSecond limit over the whole fleet
 * @param tokensPerSecond limit on prompt plus output tokens over the whole fleet
 * @param maxConcurrent limit on requests in progress over the whole fleet
 * @param maxQueued limit on requests waiting for a placement over the whole fleet
 * @param shareWeight weight among tenants of equal urgency, above 0
 */
public record TenantRecord(
    TenantName tenant,
    double requestsPerSecond,
    double tokensPerSecond,
    int maxConcurrent,
    int maxQueued,
    double shareWeight)
    implements ConfigurationRecord {

  @Override
  @JsonIgnore
  public String key() {
    return tenant.value();
  }
}
