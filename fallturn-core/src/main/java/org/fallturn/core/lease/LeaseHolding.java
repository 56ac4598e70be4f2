package org.fallturn.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NodeId;

/**
 * A lease that this node holds, and until when it may order by it. The right ends with the later of
 * the lease in the table and the promises of a majority of the witnesses of every row that may be
 * the table's present one. Owned by the thread of its {@link PoolLease}.
 */
final class LeaseHolding {

  private final LeaseParameters parameters;
  private final Epoch epoch;
  private final Map<NodeId, Long> promisedUntilNanos = new HashMap<>();
  private long version;
  private LeaseRecord record;
  private long confirmedNanos;

  LeaseHolding(LeaseParameters parameters, long version, LeaseRecord record, long sentNanos) {
    this.parameters = parameters;
    this.epoch = record.epoch();
    confirm(version, record, sentNanos);
  }

  Epoch epoch() {
    return epoch;
  }

  long version() {
    return version;
  }

  LeaseRecord record() {
    return record;
  }

  /** The table has the given renewal, which was sent at the given time or later. */
  final void confirm(long newVersion, LeaseRecord newRecord, long sentNanos) {
    version = newVersion;
    record = newRecord;
    confirmedNanos = sentNanos;
    promisedUntilNanos.clear();
  }

  long leaseEndNanos() {
    return confirmedNanos + parameters.usableNanos(record.duration());
  }

  void promised(NodeId witness, long askedNanos) {
    long until = askedNanos + parameters.usableNanos(record.duration());
    promisedUntilNanos.merge(witness, until, (left, right) -> right - left > 0 ? right : left);
  }

  /**
   * The right to order.
   *
   * @param unsettled a renewal that may have taken effect already
   */
  Authority authority(Optional<LeaseRecord> unsettled) {
    long byLease = leaseEndNanos();
    Optional<Long> byWitnesses = quorumEnd(record.witnesses());
    if (unsettled.isPresent()) {
      Optional<Long> other = quorumEnd(unsettled.get().witnesses());
      byWitnesses = byWitnesses.flatMap(end -> other.map(second -> earlier(end, second)));
    }
    long limit = confirmedNanos + parameters.usableNanos(record.outageLimit());
    long extended = byWitnesses.map(end -> earlier(end, limit)).orElse(byLease);
    return new Authority(epoch, byLease, extended - byLease > 0 ? extended : byLease);
  }

  private Optional<Long> quorumEnd(List<LeaseWitness> witnesses) {
    List<Long> ends = new ArrayList<>();
    for (LeaseWitness witness : witnesses) {
      Long end = promisedUntilNanos.get(witness.node());
      if (end != null) {
        ends.add(end);
      }
    }
    int majority = majority(witnesses);
    if (witnesses.isEmpty() || ends.size() < majority) {
      return Optional.empty();
    }
    ends.sort((left, right) -> Long.compare(right - left, 0));
    return Optional.of(ends.get(majority - 1));
  }

  static int majority(List<LeaseWitness> witnesses) {
    return witnesses.size() / 2 + 1;
  }

  private static long earlier(long left, long right) {
    return right - left > 0 ? left : right;
  }
}
