package org.fallturn.core.lease;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;

/**
 * Content of a pool's lease row. Every write carries a fresh attempt id, by which its writer
 * recognises its own write after a lost answer.
 *
 * @param pool the pool
 * @param holder the node that leads the pool; absent after a release
 * @param epoch raised by one with each change of holder, never otherwise
 * @param attemptId unique id of the write
 * @param durationMillis how long the lease holds without renewal
 * @param outageLimitMillis longest time that witnesses may extend the lease
 * @param witnesses nodes whose majority must consent to a takeover; empty for none
 * @param witnessListVersion version of the machine list that named every witness
 * @param loads what the pool wants of the weight store
 */
public record LeaseRecord(
    PoolId pool,
    Optional<NodeId> holder,
    Epoch epoch,
    String attemptId,
    long durationMillis,
    long outageLimitMillis,
    List<LeaseWitness> witnesses,
    long witnessListVersion,
    LoadDemand loads) {

  /** A private copy of the witnesses. */
  public LeaseRecord {
    witnesses = List.copyOf(witnesses);
  }

  /** The duration as a typed value. */
  Duration duration() {
    return Duration.ofMillis(durationMillis);
  }

  /** The outage limit as a typed value. */
  Duration outageLimit() {
    return Duration.ofMillis(outageLimitMillis);
  }

  boolean isHeldBy(NodeId node) {
    return holder.isPresent() && holder.get().equals(node);
  }
}
