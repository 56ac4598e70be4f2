package org.fallturn.core.roles;

import java.util.List;
import org.fallturn.core.domain.PoolId;

/**
 * What the leader of a pool tells the role policy. Immutable.
 *
 * @param pool the pool
 * @param observedAtNanos when, on the monotonic clock of the leader
 * @param windowNanos length of the window that the arrival and outcome counts cover
 * @param arrivedRequests requests that asked for a placement within the window, refused ones too
 * @param arrivedPromptTokens their prompt tokens, without what the prefix cache saves
 * @param arrivedOutputTokens estimate of their output tokens
 * @param placedPromptTokens prompt tokens of the requests placed within the window, without what
 *     the prefix cache saves
 * @param placedOutputTokens estimate of the output tokens of the requests placed
 * @param refusedRequests requests refused for want of capacity within the window
 * @param completedRequests requests completed within the window
 * @param expiredRequests requests whose deadline passed after they were placed, within the window
 * @param queues waiting requests, one entry for each urgency that has any
 * @param engines the engines of the pool, in the order of their names
 * @param rates what one engine achieves
 */
public record PoolObservation(
    PoolId pool,
    long observedAtNanos,
    long windowNanos,
    int arrivedRequests,
    long arrivedPromptTokens,
    long arrivedOutputTokens,
    long placedPromptTokens,
    long placedOutputTokens,
    int refusedRequests,
    int completedRequests,
    int expiredRequests,
    List<UrgencyObservation> queues,
    List<EngineObservation> engines,
    EngineRates rates) {
  /** Private copies of the lists. */
  public PoolObservation {
    queues = List.copyOf(queues);
    engines = List.copyOf(engines);
  }

  /** Prompt tokens waiting for a placement. */
  public long queuedPromptTokens() {
    return queues.stream().mapToLong(UrgencyObservation::queuedPromptTokens).sum();
  }

  /** Estimate of the output tokens of waiting requests. */
  public long queuedOutputTokens() {
    return queues.stream().mapToLong(UrgencyObservation::queuedOutputTokens).sum();
  }
}
