package org.fallturn.core.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * One object of the configuration. Each kind has a natural key, unique among records of the kind; a
 * change puts whole records or removes them by key.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = TenantRecord.class, name = "tenant"),
  @JsonSubTypes.Type(value = ApiKeyRecord.class, name = "api-key"),
  @JsonSubTypes.Type(value = ServiceRecord.class, name = "service"),
  @JsonSubTypes.Type(value = RuleRecord.class, name = "rule"),
  @JsonSubTypes.Type(value = PoolPolicyRecord.class, name = "pool-policy"),
  @JsonSubTypes.Type(value = MachineDrainRecord.class, name = "machine-drain"),
  @JsonSubTypes.Type(value = OperatorRecord.class, name = "operator")
})
public sealed interface ConfigurationRecord
    permits TenantRecord,
        ApiKeyRecord,
        ServiceRecord,
        RuleRecord,
        PoolPolicyRecord,
        MachineDrainRecord,
        OperatorRecord {

  /** The natural key within the kind. */
  String key();
}
