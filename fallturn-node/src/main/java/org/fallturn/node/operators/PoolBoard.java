package org.fallturn.node.operators;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.roles.PoolObservation;
import org.fallturn.core.roles.RoleChange;
import org.fallturn.core.roles.RolePolicy;

/**
 * What this node's pool leaders last saw and decided, for the operators' tables. It listens in on
 * the role policies, which are asked about once a second. Thread-safe.
 */
public final class PoolBoard {

  private static final int KEPT_CHANGES = 1000;

  private final Map<PoolId, PoolObservation> observations = new ConcurrentHashMap<>();
  private final Deque<Decision> decisions = new ArrayDeque<>();

  /** The same policies, with what they are told and answer noted here. */
  public Function<PoolId, RolePolicy> listenTo(Function<PoolId, RolePolicy> policies) {
    return pool -> new NotingPolicy(policies.apply(pool));
  }

  /** The last observation of each pool that this node leads or has led. */
  Map<PoolId, PoolObservation> observations() {
    return observations;
  }

  /** The last role changes that this node has decided, oldest first. */
  List<Decision> decisions() {
    synchronized (decisions) {
      return List.copyOf(decisions);
    }
  }

  private void note(PoolObservation observation, List<RoleChange> changes) {
    observations.put(observation.pool(), observation);
    synchronized (decisions) {
      for (RoleChange change : changes) {
        decisions.addLast(new Decision(observation.pool(), change, Instant.now()));
        if (decisions.size() > KEPT_CHANGES) {
          decisions.removeFirst();
        }
      }
    }
  }

  /**
   * A role change that a leader of this node has decided.
   *
   * @param pool the pool
   * @param change the change
   * @param at when, by this node's wall clock
   */
  record Decision(PoolId pool, RoleChange change, Instant at) {}

  /** Asks another policy and notes question and answer. */
  private final class NotingPolicy implements RolePolicy {
    private final RolePolicy policy;

    NotingPolicy(RolePolicy policy) {
      this.policy = policy;
    }

    @Override
    public List<RoleChange> decide(PoolObservation observation, PoolPolicyRecord operatorsPolicy) {
      List<RoleChange> changes = policy.decide(observation, operatorsPolicy);
      note(observation, changes);
      return changes;
    }
  }
}
