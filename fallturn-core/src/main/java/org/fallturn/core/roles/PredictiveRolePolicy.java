package org.fallturn.core.roles;

import java.util.List;
import org.fallturn.core.configuration.PoolPolicyRecord;

/**
 * Moves engines between roles when the requests it expects to bring into time over a horizon
 * outweigh what the move costs: the engines' time away and the operators' weight on each change.
 *
 * <p>It acts on arrivals, so it moves before queues build. A move is not undone at once unless
 * arrivals have shifted since, so it does not follow noise. Floors and the bound on engines that
 * change at once hold for whatever it is shown. Used by one thread.
 */
public final class PredictiveRolePolicy implements RolePolicy {
  private static final double NANOS_PER_SECOND = 1e9;

  private final RolePolicyParameters parameters;
  private final DemandEstimator estimator;
  private int lastDirection;
  private long lastChangeNanos;

  /** A policy that has seen nothing yet. */
  public PredictiveRolePolicy(RolePolicyParameters parameters) {
    this.parameters = parameters;
    estimator = new DemandEstimator(parameters);
  }

  @Override
  public List<RoleChange> decide(PoolObservation observation, PoolPolicyRecord policy) {
    Demand demand = estimator.observe(observation);
    RoleCounts counts = RoleCounts.of(observation.engines());
    int target = targetPrefill(demand, counts, policy);
    if (isEarlyReversal(target - counts.prefill(), observation.observedAtNanos())) {
      return List.of();
    }
    List<RoleChange> changes = RoleMoves.towards(target, observation.engines(), counts, policy);
    if (!changes.isEmpty()) {
      lastDirection = Integer.signum(target - counts.prefill());
      lastChangeNanos = observation.observedAtNanos();
    }
    return changes;
  }

  /** Undoing a change before its effect shows would only follow noise. */
  private boolean isEarlyReversal(int difference, long nowNanos) {
    boolean isReversal = lastDirection != 0 && Integer.signum(difference) == -lastDirection;
    double since = (nowNanos - lastChangeNanos) / NANOS_PER_SECOND;
    boolean isSteadyMix = estimator.lastShiftNanos() <= lastChangeNanos;
    return isReversal && isSteadyMix && since < parameters.reversalSeconds();
  }

  private int targetPrefill(Demand demand, RoleCounts counts, PoolPolicyRecord policy) {
    SplitValue value = new SplitValue(demand, parameters.fullServiceHeadroom());
    int present = counts.prefill();
    int engines = counts.prefill() + counts.decode();
    double requests = demand.requestsPerSecond() * parameters.horizonSeconds();
    int best = present;
    double bestGain = parameters.leastGainShare() * requests;
    for (int target = policy.minPrefill(); target <= engines - policy.minDecode(); target++) {
      double gain = gain(value, present, target, engines, policy, requests);
      if (target != present && gain > bestGain) {
        bestGain = gain;
        best = target;
      }
    }
    return best;
  }

  /** Requests within the horizon that a move brings into time, less what it costs. */
  private double gain(
      SplitValue value,
      int present,
      int target,
      int engines,
      PoolPolicyRecord policy,
      double requests) {
    int moves = Math.abs(target - present);
    int atOnce = Math.max(1, Math.min(moves, policy.maxChanging()));
    double rounds = Math.ceil((double) moves / atOnce);
    double awayShare =
        Math.min(1, rounds * parameters.changeSeconds() / parameters.horizonSeconds());
    int away = Math.max(1, atOnce);
    boolean toPrefill = target > present;
    double during =
        toPrefill
            ? value.inTimeShare(present, engines - present - away)
            : value.inTimeShare(present - away, engines - present);
    double before = value.inTimeShare(present, engines - present);
    double after = value.inTimeShare(target, engines - target);
    double share = awayShare * during + (1 - awayShare) * after - before;
    return share * requests - policy.roleChangeWeight() * moves;
  }
}
