package org.fallturn.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;

/**
 * Every pool's lease as one node sees it, and this node's part as a witness. Events go in, actions
 * come out: reads and writes of the table, questions to witnesses, beginnings and ends of
 * leaderships. Renewals of all leases go into one transaction; each takeover has its own. Owned by
 * one thread; times are the node's monotonic clock.
 */
public final class LeaseManager {

  private static final int MAX_ACQUISITIONS_IN_FLIGHT = 4;

  private final NodeId self;
  private final LeaseParameters parameters;
  private final RandomGenerator random;
  private final Supplier<String> attemptIds;
  private final WitnessRegister witnessRegister;
  private final Map<PoolId, PoolLease> leases = new TreeMap<>();
  private final Map<Long, List<LeaseWrite>> batches = new HashMap<>();
  private long lastBatch;
  private boolean leaving;
  private boolean tableSeen;
  private boolean tableFailing;
  private long tableReachedNanos;

  /**
   * A manager that knows no pool.
   *
   * @param random for jitter
   * @param attemptIds gives ids that are unique over all processes
   */
  public LeaseManager(
      NodeId self,
      LeaseParameters parameters,
      RandomGenerator random,
      Supplier<String> attemptIds) {
    this.self = self;
    this.parameters = parameters;
    this.random = random;
    this.attemptIds = attemptIds;
    this.witnessRegister = new WitnessRegister(self, parameters);
  }

  /** Takes over what membership and machine list say. */
  public void onCandidates(Map<PoolId, PoolCandidates> candidates, long nowNanos) {
    candidates.forEach(
        (pool, present) ->
            lease(pool, nowNanos).candidates(leaving ? PoolCandidates.NONE : present));
    leases.forEach(
        (pool, lease) -> {
          if (!candidates.containsKey(pool)) {
            lease.candidates(PoolCandidates.NONE);
          }
        });
  }

  private PoolLease lease(PoolId pool, long nowNanos) {
    return leases.computeIfAbsent(
        pool, key -> new PoolLease(key, self, parameters, random, attemptIds, nowNanos));
  }

  /** What a pool that this node leads wants of the weight store. */
  public void onLoadDemand(PoolId pool, LoadDemand demand) {
    PoolLease lease = leases.get(pool);
    if (lease != null) {
      lease.loads(demand);
    }
  }

  /** Does what is due; called often. */
  public List<LeaseAction> onTick(long nowNanos) {
    List<LeaseAction> actions = new ArrayList<>();
    addReads(nowNanos, actions);
    addRenewals(nowNanos, actions);
    addAcquisitions(nowNanos, actions);
    leases.values().forEach(lease -> lease.askWitnesses(nowNanos, actions));
    return answerOwnWitness(actions, nowNanos);
  }

  private void addReads(long nowNanos, List<LeaseAction> actions) {
    List<PoolId> pools = new ArrayList<>();
    leases.forEach(
        (pool, lease) -> {
          if (lease.wantsRead(nowNanos)) {
            lease.readSent(nowNanos);
            pools.add(pool);
          }
        });
    if (!pools.isEmpty()) {
      actions.add(new LeaseAction.ReadRows(pools));
    }
  }

  private void addRenewals(long nowNanos, List<LeaseAction> actions) {
    if (leases.values().stream().noneMatch(lease -> lease.isRenewalDue(nowNanos))) {
      return;
    }
    long ahead = parameters.renewInterval().toNanos() / 2;
    List<LeaseWrite> writes = new ArrayList<>();
    leases.values().forEach(lease -> lease.nextRenewal(nowNanos, ahead).ifPresent(writes::add));
    addBatch(writes, actions);
  }

  private void addAcquisitions(long nowNanos, List<LeaseAction> actions) {
    long acquiring = leases.values().stream().filter(PoolLease::isAcquiring).count();
    long held = leases.values().stream().filter(PoolLease::isHeld).count();
    for (PoolLease lease : leases.values()) {
      if (acquiring >= MAX_ACQUISITIONS_IN_FLIGHT) {
        return;
      }
      Optional<LeaseWrite> write =
          lease.nextAcquisition(Math.toIntExact(held + acquiring), nowNanos);
      if (write.isPresent()) {
        acquiring++;
        addBatch(List.of(write.get()), actions);
      }
    }
  }

  private void addBatch(List<LeaseWrite> writes, List<LeaseAction> actions) {
    if (writes.isEmpty()) {
      return;
    }
    lastBatch++;
    batches.put(lastBatch, writes);
    actions.add(new LeaseAction.WriteRows(lastBatch, writes));
  }

  private List<LeaseAction> answerOwnWitness(List<LeaseAction> actions, long nowNanos) {
    List<LeaseAction> remote = new ArrayList<>();
    for (LeaseAction action : actions) {
      if (action instanceof LeaseAction.AskConsent ask && ask.request().witness().equals(self)) {
        ConsentAnswer answer = witnessRegister.consent(ask.request(), nowNanos);
        onConsentAnswer(ask.request(), answer, nowNanos);
      } else {
        remote.add(action);
      }
    }
    return remote;
  }

  // Answers of the table.

  /** Rows that were read. */
  public List<LeaseAction> onRows(List<LeaseRow> rows, long nowNanos) {
    tableReached(nowNanos);
    List<LeaseAction> actions = new ArrayList<>();
    rows.forEach(row -> lease(row.pool(), nowNanos).onRow(row, nowNanos, actions));
    return actions;
  }

  /** A read got no usable answer. */
  public void onReadFailed() {
    tableFailing = true;
  }

  /** The batch took effect. */
  public List<LeaseAction> onCommitted(long batch, long nowNanos) {
    tableReached(nowNanos);
    List<LeaseAction> actions = new ArrayList<>();
    for (LeaseWrite write : takeBatch(batch)) {
      lease(write.lease().pool(), nowNanos).onCommitted(write, nowNanos, actions);
    }
    return actions;
  }

  /** The batch had no effect because these rows had other versions. */
  public List<LeaseAction> onConflict(long batch, List<LeaseRow> present, long nowNanos) {
    tableReached(nowNanos);
    List<LeaseAction> actions = new ArrayList<>();
    Map<PoolId, LeaseRow> conflicts = new HashMap<>();
    present.forEach(row -> conflicts.put(row.pool(), row));
    for (LeaseWrite write : takeBatch(batch)) {
      PoolLease lease = lease(write.lease().pool(), nowNanos);
      LeaseRow row = conflicts.get(write.lease().pool());
      if (row == null) {
        lease.onBatchAborted(write, nowNanos);
      } else {
        lease.onConflict(write, row, nowNanos, actions);
      }
    }
    return actions;
  }

  /** The table refused the batch, or could not be reached: certainly no effect. */
  public void onNoEffect(long batch, long nowNanos) {
    tableFailing = true;
    for (LeaseWrite write : takeBatch(batch)) {
      lease(write.lease().pool(), nowNanos).onNoEffect(write, nowNanos);
    }
  }

  /** No answer came; the batch may have taken effect, or may yet. */
  public void onUnknown(long batch, long nowNanos) {
    tableFailing = true;
    for (LeaseWrite write : takeBatch(batch)) {
      lease(write.lease().pool(), nowNanos).onUnknown(write, nowNanos);
    }
  }

  private List<LeaseWrite> takeBatch(long batch) {
    List<LeaseWrite> writes = batches.remove(batch);
    return writes == null ? List.of() : writes;
  }

  private void tableReached(long nowNanos) {
    tableSeen = true;
    tableFailing = false;
    tableReachedNanos = nowNanos;
  }

  /** Whether the last call to the table succeeded, and not long ago. */
  public boolean isTableReachable(long nowNanos) {
    boolean recent = nowNanos - tableReachedNanos < parameters.duration().toNanos();
    return tableSeen && !tableFailing && recent;
  }

  // Witnesses.

  /** Answers a holder as a witness. */
  public PromiseAnswer onPromiseRequest(PromiseRequest request, long nowNanos) {
    return witnessRegister.promise(request, isTableReachable(nowNanos), nowNanos);
  }

  /** Answers a challenger as a witness. */
  public ConsentAnswer onConsentRequest(ConsentRequest request, long nowNanos) {
    return witnessRegister.consent(request, nowNanos);
  }

  /** A witness answered this node as the holder; {@code askedNanos} as in the action. */
  public void onPromiseAnswer(PromiseRequest request, PromiseAnswer answer, long askedNanos) {
    PoolLease lease = leases.get(request.pool());
    if (lease != null) {
      lease.onPromise(request, answer, askedNanos);
    }
  }

  /** A witness answered this node as the challenger. */
  public void onConsentAnswer(ConsentRequest request, ConsentAnswer answer, long nowNanos) {
    PoolLease lease = leases.get(request.pool());
    if (lease != null) {
      lease.onConsent(request, answer, nowNanos);
    }
  }

  // Ends.

  /** Another node is known to lead a pool with this epoch. */
  public List<LeaseAction> onSuperseded(PoolId pool, Epoch epoch) {
    List<LeaseAction> actions = new ArrayList<>();
    PoolLease lease = leases.get(pool);
    if (lease != null) {
      lease.superseded(epoch, actions);
    }
    return actions;
  }

  /** This node is leaving: it gives up its leases and takes no new ones. */
  public List<LeaseAction> onLeaving() {
    leaving = true;
    List<LeaseAction> actions = new ArrayList<>();
    leases.values().forEach(lease -> lease.release(actions));
    return actions;
  }

  /** Whether every release has been settled. */
  public boolean isReleased() {
    return leases.values().stream().noneMatch(PoolLease::isReleasing);
  }

  // Queries.

  /** This node's right to order, for each pool it leads. */
  public Map<PoolId, Authority> authorities() {
    Map<PoolId, Authority> authorities = new HashMap<>();
    leases.forEach(
        (pool, lease) ->
            lease.authority().ifPresent(authority -> authorities.put(pool, authority)));
    return authorities;
  }

  /** Pools that this node leads. */
  public Set<PoolId> led() {
    Set<PoolId> led = new HashSet<>();
    leases.forEach(
        (pool, lease) -> {
          if (lease.isHeld()) {
            led.add(pool);
          }
        });
    return led;
  }
}
