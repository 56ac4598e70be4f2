package org.fallturn.core.request;

import java.util.List;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;

/**
 * What a caller asked of a model service, after the rules were applied. Fixed for the request's
 * life.
 *
 * @param requestId unique in the fleet, made by the node that accepted the request
 * @param tenant whose work it is
 * @param shareWeight the tenant's weight among tenants of equal urgency
 * @param service the service called
 * @param model the model that serves it
 * @param adapter adapter name, or empty
 * @param cacheScope prompts of different scopes never share cache
 * @param urgency after the rule capped it
 * @param prompt the text
 * @param promptTokens tokens in the prompt
 * @param prefixHashes hashes of the prompt's full blocks, shortest prefix first
 * @param maxTokens most tokens the answer may have
 * @param repeatable whether the request may be sent again after a back end may have seen it
 * @param maxAttempts most placements asked for
 */
public record RequestSpec(
    RequestId requestId,
    TenantName tenant,
    double shareWeight,
    ServiceName service,
    ModelName model,
    String adapter,
    String cacheScope,
    Urgency urgency,
    String prompt,
    int promptTokens,
    List<Long> prefixHashes,
    int maxTokens,
    boolean repeatable,
    int maxAttempts) {

  /** A private copy of the hashes. */
  public RequestSpec {
    prefixHashes = List.copyOf(prefixHashes);
  }
}
