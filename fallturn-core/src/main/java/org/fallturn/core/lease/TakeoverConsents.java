package org.fallturn.core.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.domain.NodeId;

/**
 * Consents of witnesses to the takeover of one version of a row. A witness whose process is gone
 * counts once every promise it can have given has run out. Owned by the thread of its {@link
 * PoolLease}.
 */
final class TakeoverConsents {

  private final List<LeaseWitness> witnesses;
  private final long goneWaitNanos;
  private final Set<NodeId> consented = new HashSet<>();
  private final Map<NodeId, Long> goneSinceNanos = new HashMap<>();

  TakeoverConsents(List<LeaseWitness> witnesses, long goneWaitNanos) {
    this.witnesses = witnesses;
    this.goneWaitNanos = goneWaitNanos;
  }

  void consent(NodeId witness) {
    consented.add(witness);
  }

  void gone(NodeId witness, long nowNanos) {
    goneSinceNanos.putIfAbsent(witness, nowNanos);
  }

  List<LeaseWitness> missing() {
    return witnesses.stream()
        .filter(witness -> !consented.contains(witness.node()))
        .filter(witness -> !goneSinceNanos.containsKey(witness.node()))
        .toList();
  }

  boolean isMajority(long nowNanos) {
    long count = witnesses.stream().filter(witness -> counts(witness.node(), nowNanos)).count();
    return count >= LeaseHolding.majority(witnesses);
  }

  private boolean counts(NodeId witness, long nowNanos) {
    Long since = goneSinceNanos.get(witness);
    boolean forgotten = since != null && nowNanos - since >= goneWaitNanos;
    return forgotten || consented.contains(witness);
  }
}
