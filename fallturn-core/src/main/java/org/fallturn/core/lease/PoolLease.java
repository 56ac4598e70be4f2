package org.fallturn.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;

/**
 * One pool's lease as one node sees it: watching another's lease, trying for it, or holding it.
 * Invariant: it claims the lease only by a conditional write on a version that it has waited out
 * since it first saw it, and with the consent of a majority of that version's witnesses. A write
 * whose answer was lost stays unsettled until the row's version tells. Owned by the thread of its
 * {@link LeaseManager}.
 */
final class PoolLease {

  private final PoolId pool;
  private final NodeId self;
  private final LeaseParameters parameters;
  private final RandomGenerator random;
  private final Supplier<String> attemptIds;

  private PoolCandidates candidates = PoolCandidates.NONE;
  private LoadDemand loads = LoadDemand.NONE;
  private LeaseRow row;
  private long rowFirstSeenNanos;
  private long jitterNanos;
  private LeaseAttempt attempt;
  private LeaseHolding holding;
  private TakeoverConsents consents;
  private boolean releasing;
  private boolean renewalFailing;
  private boolean readDue = true;
  private long lastReadNanos;
  private long nextRenewNanos;
  private long nextAskNanos;

  PoolLease(
      PoolId pool,
      NodeId self,
      LeaseParameters parameters,
      RandomGenerator random,
      Supplier<String> attemptIds,
      long nowNanos) {
    this.pool = pool;
    this.self = self;
    this.parameters = parameters;
    this.random = random;
    this.attemptIds = attemptIds;
    this.nextAskNanos = nowNanos;
  }

  void candidates(PoolCandidates present) {
    candidates = present;
  }

  void loads(LoadDemand present) {
    loads = present;
  }

  boolean isHeld() {
    return holding != null;
  }

  boolean isAcquiring() {
    return attempt != null && attempt.kind() == LeaseAttempt.Kind.ACQUIRE;
  }

  boolean isReleasing() {
    return releasing;
  }

  int fairShare() {
    return candidates.fairShare();
  }

  Optional<LeaseRow> row() {
    return Optional.ofNullable(row);
  }

  Optional<Authority> authority() {
    if (holding == null) {
      return Optional.empty();
    }
    Optional<LeaseRecord> unsettled = Optional.ofNullable(attempt).map(LeaseAttempt::record);
    return Optional.of(holding.authority(unsettled));
  }

  // Reading.

  /** Whether the row should be read now. */
  boolean wantsRead(long nowNanos) {
    if (attempt != null && !attempt.inFlight() && attempt.mayHaveLanded()) {
      return readDue || nowNanos - lastReadNanos >= parameters.renewInterval().toNanos() / 2;
    }
    if (holding != null || releasing || attempt != null || !candidates.isCandidate()) {
      return false;
    }
    return readDue || nowNanos - lastReadNanos >= watchNanos();
  }

  private long watchNanos() {
    boolean calm =
        row != null
            && row.lease().isPresent()
            && row.lease().get().holder().filter(candidates.healthyNodes()::contains).isPresent();
    return (calm ? parameters.calmWatchInterval() : parameters.watchInterval()).toNanos();
  }

  void readSent(long nowNanos) {
    readDue = false;
    lastReadNanos = nowNanos;
  }

  /** The row as read, or as a conflict showed it. */
  void onRow(LeaseRow seen, long nowNanos, List<LeaseAction> actions) {
    if (row == null || seen.version() > row.version()) {
      row = seen;
      rowFirstSeenNanos = nowNanos;
      jitterNanos = random.nextLong(parameters.backoffStep().toNanos());
      consents = null;
    }
    if (attempt != null && attempt.isSettledBy(row.version())) {
      settle(actions);
    }
    if (holding != null && row.version() > holding.version()) {
      endHolding(actions);
    }
  }

  private void settle(List<LeaseAction> actions) {
    LeaseAttempt settled = attempt;
    attempt = null;
    if (settled.isShownBy(row)) {
      tookEffect(settled, settled.firstSentNanos(), actions);
    }
  }

  // Writing.

  /** Whether a renewal or release should be sent now. */
  boolean isRenewalDue(long nowNanos) {
    if (attempt != null) {
      return attempt.kind() != LeaseAttempt.Kind.ACQUIRE && attempt.isResendDue(nowNanos);
    }
    return releasing || holding != null && nowNanos - nextRenewNanos >= 0;
  }

  /**
   * The renewal or release to send now, first or again.
   *
   * @param aheadNanos how much earlier than needed a renewal may join the others
   */
  Optional<LeaseWrite> nextRenewal(long nowNanos, long aheadNanos) {
    if (attempt != null) {
      boolean wanted = attempt.kind() != LeaseAttempt.Kind.ACQUIRE;
      return wanted ? resend(nowNanos) : Optional.empty();
    }
    if (releasing) {
      return nextRelease(nowNanos);
    }
    if (holding == null || nowNanos + aheadNanos - nextRenewNanos < 0) {
      return Optional.empty();
    }
    LeaseRecord renewed = newRecord(Optional.of(self), holding.epoch());
    return start(LeaseAttempt.Kind.RENEW, holding.version(), renewed, nowNanos);
  }

  private Optional<LeaseWrite> nextRelease(long nowNanos) {
    boolean ours = row != null && row.lease().filter(lease -> lease.isHeldBy(self)).isPresent();
    if (!ours) {
      releasing = false;
      return Optional.empty();
    }
    LeaseRecord released = newRecord(Optional.empty(), row.lease().get().epoch());
    return start(LeaseAttempt.Kind.RELEASE, row.version(), released, nowNanos);
  }

  /**
   * The takeover to send now, first or again.
   *
   * @param leases leases that this node holds or tries for
   */
  Optional<LeaseWrite> nextAcquisition(int leases, long nowNanos) {
    if (attempt != null) {
      return isAcquiring() && candidates.isCandidate() ? resend(nowNanos) : Optional.empty();
    }
    if (holding != null || releasing || row == null || !candidates.isCandidate()) {
      return Optional.empty();
    }
    if (nowNanos - eligibleNanos(leases) < 0 || !hasConsent(nowNanos)) {
      return Optional.empty();
    }
    Epoch epoch = row.lease().map(LeaseRecord::epoch).orElse(Epoch.NONE).next();
    LeaseRecord acquired = newRecord(Optional.of(self), epoch);
    return start(LeaseAttempt.Kind.ACQUIRE, row.version(), acquired, nowNanos);
  }

  private long eligibleNanos(int leases) {
    long step = parameters.backoffStep().toNanos();
    long overload = Math.max(0, leases + 1 - candidates.fairShare());
    long backoff = (candidates.ownRank() + overload * parameters.watchers()) * step + jitterNanos;
    return vacantNanos() + backoff;
  }

  private long vacantNanos() {
    if (isVacant()) {
      return rowFirstSeenNanos;
    }
    return rowFirstSeenNanos + parameters.waitOutNanos(row.lease().get().duration());
  }

  /** No row, a released one, or one of this process that it does not act upon. */
  private boolean isVacant() {
    return row.lease().isEmpty()
        || row.lease().get().holder().isEmpty()
        || row.lease().get().isHeldBy(self);
  }

  private boolean hasConsent(long nowNanos) {
    if (isVacant() || row.lease().get().witnesses().isEmpty()) {
      return true;
    }
    LeaseRecord lease = row.lease().get();
    return nowNanos - rowFirstSeenNanos >= parameters.outageWaitOutNanos(lease.outageLimit())
        || consents != null && consents.isMajority(nowNanos);
  }

  private LeaseRecord newRecord(Optional<NodeId> holder, Epoch epoch) {
    return new LeaseRecord(
        pool,
        holder,
        epoch,
        attemptIds.get(),
        parameters.duration().toMillis(),
        parameters.outageLimit().toMillis(),
        holder.isPresent() ? candidates.witnessChoice() : List.of(),
        candidates.listVersion(),
        loads);
  }

  private Optional<LeaseWrite> start(
      LeaseAttempt.Kind kind, long expectedVersion, LeaseRecord lease, long nowNanos) {
    attempt = new LeaseAttempt(kind, new LeaseWrite(expectedVersion, lease), nowNanos);
    return Optional.of(attempt.write());
  }

  private Optional<LeaseWrite> resend(long nowNanos) {
    if (!attempt.isResendDue(nowNanos)) {
      return Optional.empty();
    }
    attempt.resent(nowNanos);
    return Optional.of(attempt.write());
  }

  private boolean isPresentAttempt(LeaseWrite write) {
    return attempt != null && attempt.write().equals(write);
  }

  /** The table answered that the write took effect. */
  void onCommitted(LeaseWrite write, long nowNanos, List<LeaseAction> actions) {
    LeaseRow written = new LeaseRow(pool, write.expectedVersion() + 1, Optional.of(write.lease()));
    boolean present = isPresentAttempt(write);
    boolean latest = row == null || written.version() >= row.version();
    if (!present || !latest) {
      onRow(written, nowNanos, actions);
      return;
    }
    LeaseAttempt committed = attempt;
    attempt = null;
    row = written;
    rowFirstSeenNanos = nowNanos;
    consents = null;
    tookEffect(committed, committed.lastSentNanos(), actions);
  }

  /** The write certainly had no effect this time. */
  void onNoEffect(LeaseWrite write, long nowNanos) {
    if (!isPresentAttempt(write)) {
      return;
    }
    renewalFailing |= attempt.kind() == LeaseAttempt.Kind.RENEW;
    retryOrDrop(nowNanos + parameters.renewInterval().toNanos() / 4);
  }

  /** Another row of the same transaction was in the way; try again at once. */
  void onBatchAborted(LeaseWrite write, long nowNanos) {
    if (isPresentAttempt(write)) {
      retryOrDrop(nowNanos);
    }
  }

  private void retryOrDrop(long retryAtNanos) {
    attempt.failed(false, retryAtNanos);
    if (!attempt.mayHaveLanded()) {
      nextRenewNanos = retryAtNanos;
      attempt = null;
      readDue = holding == null;
    }
  }

  /** No answer came: the row must be read back. */
  void onUnknown(LeaseWrite write, long nowNanos) {
    if (!isPresentAttempt(write)) {
      return;
    }
    renewalFailing |= attempt.kind() == LeaseAttempt.Kind.RENEW;
    attempt.failed(true, nowNanos + parameters.renewInterval().toNanos() / 4);
    readDue = true;
  }

  /** The table refused the write because of this row's version. */
  void onConflict(LeaseWrite write, LeaseRow present, long nowNanos, List<LeaseAction> actions) {
    if (isPresentAttempt(write)) {
      attempt.failed(false, nowNanos);
    }
    onRow(present, nowNanos, actions);
  }

  private void tookEffect(LeaseAttempt written, long sentNanos, List<LeaseAction> actions) {
    renewalFailing = false;
    switch (written.kind()) {
      case ACQUIRE -> {
        if (releasing) {
          return;
        }
        holding = new LeaseHolding(parameters, row.version(), written.record(), sentNanos);
        actions.add(new LeaseAction.Begin(pool, holding.epoch()));
      }
      case RENEW -> {
        if (holding != null) {
          holding.confirm(row.version(), written.record(), sentNanos);
        }
      }
      case RELEASE -> releasing = false;
      default -> throw new IllegalStateException("unknown kind " + written.kind());
    }
    nextRenewNanos = sentNanos + parameters.renewInterval().toNanos();
  }

  // Ending.

  /** Gives the lease up: stops acting on it first, then releases the row. */
  void release(List<LeaseAction> actions) {
    candidates = PoolCandidates.NONE;
    if (holding == null && !isAcquiring()) {
      return;
    }
    releasing = true;
    if (holding != null) {
      attempt = null;
      endHolding(actions);
    }
  }

  /** Another node is known to lead with this epoch. */
  void superseded(Epoch epoch, List<LeaseAction> actions) {
    if (holding != null && epoch.compareTo(holding.epoch()) > 0) {
      attempt = null;
      endHolding(actions);
    }
  }

  private void endHolding(List<LeaseAction> actions) {
    actions.add(new LeaseAction.End(pool, holding.epoch()));
    holding = null;
    renewalFailing = false;
    readDue = true;
  }

  // Witnesses.

  /** Questions to witnesses that are due now. */
  void askWitnesses(long nowNanos, List<LeaseAction> actions) {
    if (nowNanos - nextAskNanos < 0) {
      return;
    }
    if (holding != null && renewalFailing) {
      askPromises(nowNanos, actions);
    } else if (wantsConsent(nowNanos)) {
      askConsents(nowNanos, actions);
    }
  }

  private void askPromises(long nowNanos, List<LeaseAction> actions) {
    nextAskNanos = nowNanos + parameters.renewInterval().toNanos() / 2;
    LeaseRecord held = holding.record();
    List<LeaseWitness> asked = held.witnesses();
    if (attempt != null && !attempt.record().witnesses().equals(asked)) {
      asked =
          Stream.concat(asked.stream(), attempt.record().witnesses().stream()).distinct().toList();
    }
    for (LeaseWitness witness : asked) {
      PromiseRequest request =
          new PromiseRequest(
              witness.node(),
              pool,
              self,
              holding.epoch(),
              holding.version(),
              held.durationMillis());
      actions.add(new LeaseAction.AskPromise(witness.address(), request, nowNanos));
    }
  }

  private boolean wantsConsent(long nowNanos) {
    return holding == null
        && attempt == null
        && !releasing
        && row != null
        && candidates.isCandidate()
        && !isVacant()
        && nowNanos - vacantNanos() >= 0
        && !hasConsent(nowNanos);
  }

  private void askConsents(long nowNanos, List<LeaseAction> actions) {
    nextAskNanos = nowNanos + parameters.watchInterval().toNanos();
    LeaseRecord lease = row.lease().get();
    if (consents == null) {
      consents = new TakeoverConsents(lease.witnesses(), parameters.waitOutNanos(lease.duration()));
    }
    if (candidates.listVersion() >= lease.witnessListVersion()) {
      lease.witnesses().stream()
          .map(LeaseWitness::node)
          .filter(node -> !candidates.listedNodes().contains(node))
          .forEach(node -> consents.gone(node, nowNanos));
    }
    for (LeaseWitness witness : consents.missing()) {
      actions.add(
          new LeaseAction.AskConsent(
              witness.address(), new ConsentRequest(witness.node(), pool, self, row.version())));
    }
  }

  void onPromise(PromiseRequest request, PromiseAnswer answer, long askedNanos) {
    boolean current =
        holding != null
            && holding.version() == request.version()
            && answer.responder().equals(request.witness());
    if (current && answer.result() == PromiseAnswer.Result.PROMISED) {
      holding.promised(request.witness(), askedNanos);
    }
  }

  void onConsent(ConsentRequest request, ConsentAnswer answer, long nowNanos) {
    if (consents == null || row.version() != request.version()) {
      return;
    }
    switch (answer.result()) {
      case CONSENTED -> consents.consent(request.witness());
      case WRONG_PROCESS -> consents.gone(request.witness(), nowNanos);
      case PROMISE_RUNNING -> nextAskNanos = nowNanos + parameters.watchInterval().toNanos();
      default -> throw new IllegalStateException("unknown result " + answer.result());
    }
  }
}
