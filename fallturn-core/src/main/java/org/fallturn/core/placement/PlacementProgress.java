package org.fallturn.core.placement;

import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;

/**
 * What a node tells the leader about a placed request; sent in batches, losing one is repaired by
 * the request's deadline and by load reports.
 *
 * @param pool the pool
 * @param requestId the request
 * @param attempt the attempt that the placement answered
 * @param stage what happened
 * @param generatedTokens tokens received so far
 */
public record PlacementProgress(
    PoolId pool, RequestId requestId, int attempt, Stage stage, int generatedTokens) {

  /** What happened to a placed request. */
  public enum Stage {
    /** The prefill engine is done; its part of the placement is free. */
    PREFILLED,
    /** The answer is complete; the placement is free. */
    COMPLETED,
    /** The caller went away or the deadline passed; the placement is free. */
    ABANDONED,
    /** The prefill engine failed; the placement is free. */
    PREFILL_FAILED,
    /** The decode engine failed; the placement is free. */
    DECODE_FAILED
  }
}
