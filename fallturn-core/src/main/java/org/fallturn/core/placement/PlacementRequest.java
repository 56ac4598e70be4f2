package org.fallturn.core.placement;

import java.util.List;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;

/**
 * A node asks a pool's leader where a request should run. The leader may hold the answer back while
 * the request waits in its queue.
 *
 * @param requestId the request
 * @param attempt 0 for the first placement of a request, rising with each re-placement
 * @param tenant whose work it is, for fairness
 * @param shareWeight the tenant's weight among tenants of equal urgency
 * @param model the model
 * @param adapter adapter name, or empty
 * @param urgency after the rules capped it
 * @param promptTokens tokens in the prompt
 * @param prefixHashes hashes of the prompt's full blocks, shortest prefix first
 * @param expectedOutputTokens estimate of the tokens still to generate
 * @param deadlineMillis milliseconds from now until the answer must be complete
 * @param excluded engines that failed this request before
 */
public record PlacementRequest(
    RequestId requestId,
    int attempt,
    TenantName tenant,
    double shareWeight,
    ModelName model,
    String adapter,
    Urgency urgency,
    int promptTokens,
    List<Long> prefixHashes,
    int expectedOutputTokens,
    long deadlineMillis,
    Set<EngineId> excluded) {

  /** Private copies of the collections. */
  public PlacementRequest {
    prefixHashes = List.copyOf(prefixHashes);
    excluded = Set.copyOf(excluded);
  }

  /** The same request with another time left until its deadline. */
  public PlacementRequest withDeadlineMillis(long millis) {
    return new PlacementRequest(
        requestId,
        attempt,
        tenant,
        shareWeight,
        model,
        adapter,
        urgency,
        promptTokens,
        prefixHashes,
        expectedOutputTokens,
        millis,
        excluded);
  }
}
