package org.fallturn.core.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.fallturn.core.domain.ModelName;

/**
 * How the roles of a model's pools are decided.
 *
 * @param model the model whose pools this holds for
 * @param roleChangeWeight price of a role change: goodput (requests within deadline) an operator
 *     would give up to avoid one, beside the capacity it costs; 0 weighs goodput alone
 * @param minPrefill engines of a pool that must keep the prefill role
 * @param minDecode engines of a pool that must keep the decode role
 * @param maxChanging engines of a pool that may change their role at once
 * @param modelVersion the version engines of these pools must load; empty leaves it as it is
 */
public record PoolPolicyRecord(
    ModelName model,
    double roleChangeWeight,
    int minPrefill,
    int minDecode,
    int maxChanging,
    String modelVersion)
    implements ConfigurationRecord {

  @Override
  @JsonIgnore
  public String key() {
    return model.value();
  }
}
