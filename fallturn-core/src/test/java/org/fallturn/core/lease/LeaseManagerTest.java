package org.fallturn.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.junit.jupiter.api.Test;

/** The lease state machine of one node, event by event. */
class LeaseManagerTest {

  private static final NodeId SELF = new NodeId("self");
  private static final NodeId OTHER = new NodeId("other");
  private static final PoolId FIRST = PoolId.parse("zone/model/0");
  private static final PoolId SECOND_POOL = PoolId.parse("zone/model/1");
  private static final long MILLI = 1_000_000;
  private static final long STEP = 50 * MILLI;
  private static final LeaseParameters PARAMETERS =
      LeaseParameters.of(Duration.ofSeconds(6), Duration.ofSeconds(2), Duration.ofMillis(500));
  private static final LeaseWitness WITNESS =
      new LeaseWitness(new NodeId("witness"), new NetworkAddress("127.0.0.1", 1));

  private final List<LeaseAction> actions = new ArrayList<>();
  private int attempts;
  private final LeaseManager manager =
      new LeaseManager(SELF, PARAMETERS, new SplittableRandom(1), () -> "self#" + attempts++);
  private long now;

  private void candidateFor(PoolId... pools) {
    Map<PoolId, PoolCandidates> candidates = new HashMap<>();
    for (PoolId pool : pools) {
      Set<NodeId> listed = Set.of(SELF, OTHER, WITNESS.node());
      candidates.put(pool, new PoolCandidates(0, 10, listed, List.of(WITNESS), listed, 1));
    }
    manager.onCandidates(candidates, now);
  }

  private void tickFor(Duration time) {
    long end = now + time.toNanos();
    while (now < end) {
      now += STEP;
      actions.addAll(manager.onTick(now));
    }
  }

  private <T extends LeaseAction> List<T> all(Class<T> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private LeaseAction.WriteRows lastWrite() {
    List<LeaseAction.WriteRows> writes = all(LeaseAction.WriteRows.class);
    return writes.get(writes.size() - 1);
  }

  private static LeaseRow row(PoolId pool, long version, LeaseRecord lease) {
    return new LeaseRow(pool, version, Optional.ofNullable(lease));
  }

  private static LeaseRecord heldByOther(List<LeaseWitness> witnesses) {
    return new LeaseRecord(
        FIRST,
        Optional.of(OTHER),
        new Epoch(4),
        "other#1",
        6000,
        60_000,
        witnesses,
        1,
        LoadDemand.NONE);
  }

  private void acquire(PoolId... pools) {
    candidateFor(pools);
    for (PoolId pool : pools) {
      actions.addAll(manager.onRows(List.of(row(pool, 0, null)), now));
    }
    tickFor(Duration.ofSeconds(2));
    for (LeaseAction.WriteRows write : all(LeaseAction.WriteRows.class)) {
      actions.addAll(manager.onCommitted(write.batch(), now));
    }
  }

  @Test
  void takesAVacantPoolAtTheNextEpoch() {
    acquire(FIRST);
    assertThat(all(LeaseAction.Begin.class))
        .containsExactly(new LeaseAction.Begin(FIRST, new Epoch(1)));
    assertThat(manager.authorities().get(FIRST).permits(now)).isTrue();
  }

  @Test
  void rightEndsByTheOwnClockBeforeAnyOtherMayTakeOver() {
    acquire(FIRST);
    Authority authority = manager.authorities().get(FIRST);
    assertThat(authority.permits(now + Duration.ofSeconds(6).toNanos())).isFalse();
  }

  @Test
  void waitsOutAnothersLeaseSinceItFirstSawTheVersion() {
    candidateFor(FIRST);
    manager.onRows(List.of(row(FIRST, 7, heldByOther(List.of()))), now);
    tickFor(Duration.ofSeconds(6));
    assertThat(all(LeaseAction.WriteRows.class)).isEmpty();
    tickFor(Duration.ofSeconds(3));
    assertThat(lastWrite().writes().get(0).expectedVersion()).isEqualTo(7);
    assertThat(lastWrite().writes().get(0).lease().epoch()).isEqualTo(new Epoch(5));
  }

  @Test
  void renewalSeenMeanwhileStartsTheWaitAgain() {
    candidateFor(FIRST);
    manager.onRows(List.of(row(FIRST, 7, heldByOther(List.of()))), now);
    tickFor(Duration.ofSeconds(5));
    manager.onRows(List.of(row(FIRST, 8, heldByOther(List.of()))), now);
    tickFor(Duration.ofSeconds(5));
    assertThat(all(LeaseAction.WriteRows.class)).isEmpty();
  }

  @Test
  void takeoverNeedsTheConsentOfAMajorityOfTheWitnesses() {
    candidateFor(FIRST);
    manager.onRows(List.of(row(FIRST, 7, heldByOther(List.of(WITNESS)))), now);
    tickFor(Duration.ofSeconds(10));
    assertThat(all(LeaseAction.WriteRows.class)).isEmpty();
    List<LeaseAction.AskConsent> asked = all(LeaseAction.AskConsent.class);
    ConsentAnswer answer = new ConsentAnswer(WITNESS.node(), ConsentAnswer.Result.CONSENTED);
    manager.onConsentAnswer(asked.get(0).request(), answer, now);
    tickFor(Duration.ofSeconds(1));
    assertThat(all(LeaseAction.WriteRows.class)).hasSize(1);
  }

  @Test
  void renewsAllLeasesInOneTransaction() {
    acquire(FIRST, SECOND_POOL);
    actions.clear();
    tickFor(Duration.ofSeconds(3));
    assertThat(lastWrite().writes())
        .extracting(write -> write.lease().pool())
        .containsExactly(FIRST, SECOND_POOL);
  }

  @Test
  void lostAnswerIsSettledByTheAttemptsOwnId() {
    acquire(FIRST);
    actions.clear();
    tickFor(Duration.ofSeconds(3));
    LeaseWrite renewal = lastWrite().writes().get(0);
    manager.onUnknown(lastWrite().batch(), now);
    actions.clear();
    tickFor(Duration.ofMillis(200));
    assertThat(all(LeaseAction.ReadRows.class)).isNotEmpty();
    actions.addAll(manager.onRows(List.of(row(FIRST, 2, renewal.lease())), now));
    assertThat(all(LeaseAction.End.class)).isEmpty();
    assertThat(manager.authorities().get(FIRST).permits(now + 2000 * MILLI)).isTrue();
  }

  @Test
  void anothersRowEndsTheLeadership() {
    acquire(FIRST);
    tickFor(Duration.ofSeconds(3));
    LeaseAction.WriteRows renewal = lastWrite();
    List<LeaseAction> after =
        manager.onConflict(renewal.batch(), List.of(row(FIRST, 2, heldByOther(List.of()))), now);
    assertThat(after).containsExactly(new LeaseAction.End(FIRST, new Epoch(1)));
    assertThat(manager.authorities()).isEmpty();
  }

  @Test
  void witnessesExtendTheLeaseWhileTheTableIsDown() {
    acquire(FIRST);
    tickFor(Duration.ofSeconds(3));
    manager.onUnknown(lastWrite().batch(), now);
    tickFor(Duration.ofSeconds(2));
    List<LeaseAction.AskPromise> asked = all(LeaseAction.AskPromise.class);
    LeaseAction.AskPromise last = asked.get(asked.size() - 1);
    manager.onPromiseAnswer(
        last.request(),
        new PromiseAnswer(WITNESS.node(), PromiseAnswer.Result.PROMISED),
        last.askedNanos());
    Authority authority = manager.authorities().get(FIRST);
    assertThat(authority.isExtended(authority.leaseEndNanos())).isTrue();
  }

  @Test
  void leavingNodeStopsOrderingBeforeItReleasesTheRow() {
    acquire(FIRST);
    List<LeaseAction> after = manager.onLeaving();
    assertThat(after).containsExactly(new LeaseAction.End(FIRST, new Epoch(1)));
    assertThat(manager.authorities()).isEmpty();
    actions.clear();
    tickFor(Duration.ofSeconds(1));
    LeaseRecord released = lastWrite().writes().get(0).lease();
    assertThat(released.holder()).isEmpty();
    assertThat(released.epoch()).isEqualTo(new Epoch(1));
    manager.onCommitted(lastWrite().batch(), now);
    assertThat(manager.isReleased()).isTrue();
  }
}
