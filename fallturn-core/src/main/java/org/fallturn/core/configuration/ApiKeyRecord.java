package org.fallturn.core.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.fallturn.core.domain.TenantName;

/**
 * An API key of a tenant, stored as a hash only.
 *
 * @param keyHash hexadecimal SHA-256 of the key
 * @param tenant whose key it is
 * @param label the operators' name for it, for rotation
 */
public record ApiKeyRecord(String keyHash, TenantName tenant, String label)
    implements ConfigurationRecord {

  @Override
  @JsonIgnore
  public String key() {
    return keyHash;
  }
}
