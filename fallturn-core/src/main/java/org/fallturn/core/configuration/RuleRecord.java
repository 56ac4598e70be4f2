package org.fallturn.core.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;

/**
 * Lets a tenant use a service, within bounds. Without a rule there is no access.
 *
 * @param tenant who
 * @param service what
 * @param requestsPerSecond limit for this tenant and service over the whole fleet
 * @param tokensPerSecond limit for this tenant and service over the whole fleet
 * @param maxUrgency the highest urgency a request may claim; higher claims are lowered to it
 * @param cacheScope prompts share prefix cache only within a scope; empty means the tenant's own
 */
public record RuleRecord(
    TenantName tenant,
    ServiceName service,
    double requestsPerSecond,
    double tokensPerSecond,
    Urgency maxUrgency,
    String cacheScope)
    implements ConfigurationRecord {

  @Override
  @JsonIgnore
  public String key() {
    return tenant.value() + "/" + service.value();
  }
}
