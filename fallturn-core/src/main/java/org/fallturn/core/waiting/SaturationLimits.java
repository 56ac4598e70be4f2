package org.fallturn.core.waiting;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Number of requests at which engines were full when they rejected one.
 *
 * <p>A limit rises again with time, since the number of requests of other nodes was known only
 * roughly and the engine may have become faster. One thread calls.
 */
public final class SaturationLimits {

  /**
   * Ratio of the limit to the number of requests counted at a rejection. It is below 1 since the
   * count of other nodes' requests is outdated.
   */
  private static final double SAFETY_FACTOR = 0.9;

  /**
   * A limit rises by a tenth per second, so that a wrong one wastes capacity for a few seconds
   * only.
   */
  private static final double RISE_PER_NANO = 0.1 / TimeUnit.SECONDS.toNanos(1);

  private final Map<String, Limit> limits = new HashMap<>();

  private record Limit(double requests, long atNanos) {

    double at(long nowNanos) {
      return requests * (1 + RISE_PER_NANO * Math.max(0, nowNanos - atNanos));
    }
  }

  /**
   * Handles the rejection of a request by an engine.
   *
   * @param engineId id of the engine
   * @param present number of requests at the engine, as far as known
   * @param slots number of requests that it processes at once; with fewer, it was not full when it
   *     rejected the request
   * @param nowNanos current time of the steady clock
   */
  public void onRejection(String engineId, int present, int slots, long nowNanos) {
    if (present >= slots) {
      limits.put(engineId, new Limit(Math.max(slots, SAFETY_FACTOR * present), nowNanos));
    }
  }

  /**
   * Returns the maximum number of requests that the engine should be given; infinite for one that
   * has not rejected any.
   */
  public double maxRequests(String engineId, long nowNanos) {
    Limit limit = limits.get(engineId);
    return limit == null ? Double.POSITIVE_INFINITY : limit.at(nowNanos);
  }

  /** Forgets engines that are gone. */
  public void retain(Set<String> engineIds) {
    limits.keySet().retainAll(engineIds);
  }
}
