package org.fallturn.core.roles;

import java.util.List;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.roles.EngineObservation.Availability;

/**
 * Baseline: a controller of the usual kind. When one role's engines are busier than the high mark
 * and the other role's are less busy than the low mark, one engine changes; then it waits for a
 * time. Used by one thread.
 */
public final class ThresholdRolePolicy implements RolePolicy {
  private static final double HIGH_MARK = 0.85;
  private static final double LOW_MARK = 0.6;
  private static final long COOL_DOWN_NANOS = 5_000_000_000L;
  private static final double PREFILL_QUEUE_SECONDS = 0.4;

  private long earliestChangeNanos = Long.MIN_VALUE;

  @Override
  public List<RoleChange> decide(PoolObservation observation, PoolPolicyRecord policy) {
    if (observation.observedAtNanos() < earliestChangeNanos) {
      return List.of();
    }
    double prefill = prefillLoad(observation);
    double decode = decodeLoad(observation);
    int present = RoleCounts.of(observation.engines()).prefill();
    int wanted = present;
    if (isShortOf(prefill, decode)) {
      wanted = present + 1;
    } else if (isShortOf(decode, prefill)) {
      wanted = present - 1;
    }
    List<RoleChange> changes = RoleMoves.towards(wanted, observation.engines(), policy);
    if (!changes.isEmpty()) {
      earliestChangeNanos = observation.observedAtNanos() + COOL_DOWN_NANOS;
    }
    return changes;
  }

  private static boolean isShortOf(double load, double otherLoad) {
    return load > HIGH_MARK && otherLoad < LOW_MARK;
  }

  /** Prompt work placed on the prefill engines, over what the scheduler places ahead. */
  private static double prefillLoad(PoolObservation observation) {
    long tokens = 0;
    int engines = 0;
    for (EngineObservation engine : observation.engines()) {
      if (isServing(engine, EngineRole.PREFILL)) {
        tokens += engine.inFlightPromptTokens();
        engines++;
      }
    }
    double rate = observation.rates().prefillTokensPerSecond() * PREFILL_QUEUE_SECONDS;
    return tokens / (rate * Math.max(1, engines));
  }

  /** Streams at hand for each decode slot. */
  private static double decodeLoad(PoolObservation observation) {
    int streams = 0;
    int engines = 0;
    for (EngineObservation engine : observation.engines()) {
      if (isServing(engine, EngineRole.DECODE)) {
        streams += engine.inFlightRequests();
        engines++;
      }
    }
    return (double) streams / (observation.rates().decodeSlots() * Math.max(1, engines));
  }

  private static boolean isServing(EngineObservation engine, EngineRole role) {
    return engine.role() == role && engine.availability() == Availability.SERVING;
  }
}
