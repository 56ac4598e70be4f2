package org.fallturn.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.FollowStep.Kind;
import org.fallturn.core.port.feed.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against two failures of replicating a table: nodes that all call the store at once, when
 * it changes or is down, and nodes that keep a stale copy because they rely on peers that are lost,
 * behind or wrong.
 */
class FollowPlanTest {

  private static final FollowBounds BOUNDS =
      FollowBounds.of(Duration.ofSeconds(3), Duration.ofSeconds(4));
  private static final long NEVER = Long.MAX_VALUE;
  private static final long NOW = TimeUnit.SECONDS.toNanos(100);
  private static final NetworkAddress RELAY = new NetworkAddress("10.0.0.1", 7660);
  private static final int MEMBER = 12;

  private final FollowPlan plan = new FollowPlan(BOUNDS);

  private static long millis(long count) {
    return TimeUnit.MILLISECONDS.toNanos(count);
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  private static WatchOrder order(int rank) {
    return new WatchOrder(rank, 71, false, true, List.of(RELAY, RELAY));
  }

  private static FollowState state(
      WatchOrder order, long newest, long sinceOwnNanos, long sinceOthersNanos) {
    return new FollowState(true, false, at(10), at(newest), sinceOwnNanos, sinceOthersNanos, order);
  }

  private FollowStep next(WatchOrder order, long newest, long sinceOwn, long sinceOthers) {
    return plan.next(state(order, newest, sinceOwn, sinceOthers), NOW);
  }

  @Test
  void nodeListensWhileOthersConfirm() {
    assertThat(next(order(MEMBER), 10, NEVER, 0).kind()).isEqualTo(Kind.LISTEN);
  }

  @Test
  void firstNodeConfirmsAndSecondHoldsALongWatch() {
    FollowStep first = next(order(0), 10, 0, 0);
    assertThat(first.kind()).isEqualTo(Kind.WATCH);
    assertThat(first.nanos()).isEqualTo(BOUNDS.confirmNanos());
    FollowStep second = next(order(1), 10, 0, 0);
    assertThat(second.kind()).isEqualTo(Kind.WATCH);
    assertThat(second.nanos()).isEqualTo(TimeUnit.SECONDS.toNanos(30));
  }

  @Test
  void nodeAsksTheStoreWhenConfirmationsStopForTheTrustedTime() {
    long trust = BOUNDS.trustNanos();
    assertThat(next(order(MEMBER), 10, NEVER, trust - 1).kind()).isEqualTo(Kind.LISTEN);
    FollowStep step = next(order(MEMBER), 10, NEVER, trust);
    assertThat(step).isEqualTo(FollowStep.watch(0));
  }

  @Test
  void nodesTakeOverOneAfterTheOther() {
    long first = BOUNDS.takeOverNanos(order(0));
    long second = BOUNDS.takeOverNanos(order(1));
    assertThat(first).isLessThan(second);
    assertThat(second).isLessThan(BOUNDS.takeOverNanos(order(2)));
    assertThat(BOUNDS.takeOverNanos(order(MEMBER))).isEqualTo(BOUNDS.trustNanos());
  }

  /** An old confirmation that is repeated does not count, so the node must go on watching. */
  @Test
  void nodeThatTookOverGoesOnWhileNoOtherNodeConfirms() {
    long settled = BOUNDS.confirmNanos() / 2;
    assertThat(next(order(MEMBER), 10, 0, NEVER).kind()).isEqualTo(Kind.LISTEN);
    FollowStep step = next(order(MEMBER), 10, settled, NEVER);
    assertThat(step).isEqualTo(FollowStep.watch(BOUNDS.ownConfirmNanos(order(MEMBER)) - settled));
    assertThat(next(order(MEMBER), 10, settled, 0).kind()).isEqualTo(Kind.LISTEN);
  }

  @Test
  void asksRelayTwiceThenAnyNodeThenTheStore() {
    assertThat(next(order(MEMBER), 12, NEVER, 0)).isEqualTo(FollowStep.ask(0, millis(20)));
    plan.onAsked(false);
    assertThat(next(order(MEMBER), 12, NEVER, 0)).isEqualTo(FollowStep.ask(1, millis(60)));
    plan.onAsked(false);
    assertThat(next(order(MEMBER), 12, NEVER, 0)).isEqualTo(FollowStep.askAny());
    plan.onAsked(false);
    assertThat(next(order(MEMBER), 12, NEVER, 0)).isEqualTo(FollowStep.watch(0));
  }

  /**
   * Peers that did not answer within 400 ms each kept a node from a store that did answer, so that
   * it sent requests to engines for 4.6 s after their leaving had been announced.
   */
  @Test
  void peersThatDoNotAnswerKeepNoNodeFromTheStore() {
    NetworkAddress first = new NetworkAddress("10.0.0.2", 7660);
    NetworkAddress second = new NetworkAddress("10.0.0.3", 7660);
    List<NetworkAddress> askable = List.of(RELAY, RELAY, first, second);
    WatchOrder order = new WatchOrder(MEMBER, 71, false, true, askable);
    FollowState announced = state(order, 12, NEVER, 0);
    long now = NOW;
    FollowStep step = plan.next(announced, now);
    while (step.kind() == Kind.ASK) {
      now += millis(step.equals(FollowStep.askAny()) ? 4 * 400 : 400);
      plan.onAsked(false);
      step = plan.next(announced, now);
    }
    assertThat(step).isEqualTo(FollowStep.watch(0));
    assertThat(now - NOW).isLessThan(BOUNDS.confirmNanos() + millis(400));
  }

  /**
   * The call to the store failed, and no peer has the change. In a fleet of 71 nodes the node
   * waited four seconds before it called the store again, and kept its stale copy meanwhile.
   */
  @Test
  void nodeThatGetsAChangeFromNobodyTriesTheStoreAgainSoon() {
    FollowState announced = state(order(MEMBER), 12, NEVER, 0);
    plan.onFailed(announced, NOW);
    long now = NOW;
    FollowStep step = plan.next(announced, now);
    while (step.kind().source() == FollowStep.Source.PEERS) {
      now += step.kind() == Kind.ASK ? millis(400) : Math.max(millis(1), step.nanos());
      if (step.kind() == Kind.ASK) {
        plan.onAsked(false);
      }
      step = plan.next(announced, now);
    }
    assertThat(step).isEqualTo(FollowStep.watch(0));
    assertThat(now - NOW).isLessThan(BOUNDS.confirmNanos() + millis(400) + millis(100));
  }

  /** Nodes that ask fetch the change over the same link: sixteen of them once took five seconds. */
  @Test
  void changeTooLargeForPeersIsReadFromTheStore() {
    FollowState announced = state(order(MEMBER), 12, NEVER, 0);
    assertThat(plan.next(announced, NOW).kind()).isEqualTo(Kind.ASK);
    plan.onTooLarge();
    assertThat(plan.next(announced, NOW)).isEqualTo(FollowStep.watch(0));
    plan.onFailed(announced, NOW);
    plan.next(announced, NOW);
    plan.onTooLarge();
    assertThat(plan.next(announced, NOW)).isEqualTo(FollowStep.askAny());
  }

  /** An announced change that is not in the store must cost a node one call, not a busy loop. */
  @Test
  void changeMissingFromTheStoreIsNotLookedForAgainForAWhile() {
    plan.onAsked(false);
    plan.onAsked(false);
    plan.onAsked(false);
    assertThat(next(order(MEMBER), 99, NEVER, 0).kind()).isEqualTo(Kind.WATCH);
    plan.onAnswered();
    plan.onChangeChecked(at(99), at(14), NOW);
    assertThat(next(order(MEMBER), 99, 0, 0).kind()).isEqualTo(Kind.LISTEN);
    assertThat(next(order(MEMBER), 100, 0, 0).kind()).isEqualTo(Kind.ASK);
    FollowState announced = state(order(MEMBER), 99, 0, 0);
    assertThat(plan.next(announced, NOW + BOUNDS.longestWaitNanos()).kind()).isEqualTo(Kind.ASK);
  }

  @Test
  void nodeThatHearsNoOtherWatchesTheStore() {
    WatchOrder alone = WatchOrder.ofOne(false);
    assertThat(next(alone, 10, 0, NEVER)).isEqualTo(FollowStep.watch(BOUNDS.longestWaitNanos()));
  }

  /** If each node watched before it heard the others, the first change would end all watches. */
  @Test
  void nodesThatStartAtOnceWaitToHearEachOther() {
    WatchOrder alone = WatchOrder.ofOne(true);
    assertThat(next(alone, 10, 0, NEVER).kind()).isEqualTo(Kind.LISTEN);
    FollowStep later =
        plan.next(state(alone, 10, millis(600), NEVER), NOW + BOUNDS.confirmNanos() / 2);
    assertThat(later.kind()).isEqualTo(Kind.WATCH);
  }

  @Test
  void nodeThatOnceHeardOthersDoesNotWaitForThemAgain() {
    assertThat(next(order(MEMBER), 10, 0, 0).kind()).isEqualTo(Kind.LISTEN);
    assertThat(next(WatchOrder.ofOne(true), 10, 0, 0).kind()).isEqualTo(Kind.WATCH);
  }

  @Test
  void nodeWithoutAnswerFromTheStoreAsksOthersAndCallsSeldom() {
    FollowState behind = state(order(1), 12, NEVER, 0);
    plan.onFailed(behind, NOW);
    assertThat(plan.next(behind, NOW)).isEqualTo(FollowStep.askAny());
    plan.onAsked(true);
    FollowStep step = plan.next(state(order(1), 10, NEVER, 0), NOW);
    assertThat(step).isEqualTo(FollowStep.listen(BOUNDS.longestWaitNanos()));
  }

  @Test
  void nodeWithoutTableRetriesSoon() {
    FollowState withoutTable = new FollowState(false, true, at(0), at(0), NEVER, 0, order(MEMBER));
    assertThat(plan.next(withoutTable, NOW).kind()).isEqualTo(Kind.READ_WHOLE);
    plan.onFailed(withoutTable, NOW);
    assertThat(plan.next(withoutTable, NOW)).isEqualTo(FollowStep.askAny());
    plan.onAsked(false);
    assertThat(plan.next(withoutTable, NOW)).isEqualTo(FollowStep.listen(millis(100)));
    assertThat(plan.next(withoutTable, NOW + millis(100)).kind()).isEqualTo(Kind.READ_WHOLE);
  }

  /** A node that only waited for the store would keep its stale copy. */
  @Test
  void nodeWithoutAnswerFromTheStoreAsksUntilANodeHasTheChange() {
    FollowState behind = state(order(1), 12, NEVER, 0);
    plan.onFailed(behind, NOW);
    for (int round = 0; round < 2; round++) {
      for (int asked = 0; asked < 3; asked++) {
        assertThat(plan.next(behind, NOW).kind()).isEqualTo(Kind.ASK);
        plan.onAsked(false);
      }
      assertThat(plan.next(behind, NOW)).isEqualTo(FollowStep.listen(millis(100)));
    }
  }

  @Test
  void watchIsNotTrustedOnceConfirmationsStop() {
    long trust = BOUNDS.trustNanos();
    assertThat(plan.trusts(state(order(1), 10, NEVER, 0), 10 * trust)).isTrue();
    assertThat(plan.trusts(state(order(1), 10, NEVER, trust), trust)).isFalse();
  }

  /** Counts the calls of all nodes, each with its own plan and informed without delay. */
  @ParameterizedTest
  @ValueSource(ints = {8, 71, 112})
  void onlyTheWatchersCallTheStoreForAChange(int nodes) {
    int calls = 0;
    for (int node = 0; node < nodes; node++) {
      FollowPlan own = new FollowPlan(BOUNDS);
      WatchOrder order = new WatchOrder(node, nodes, false, true, List.of(RELAY, RELAY));
      FollowStep before = own.next(state(order, 10, 0, 0), NOW);
      FollowStep announced = own.next(state(order, 11, 0, 0), NOW);
      calls += before.kind() == Kind.WATCH ? 1 : 0;
      assertThat(announced.kind()).isEqualTo(Kind.ASK);
    }
    assertThat(calls).isEqualTo(BOUNDS.watchers());
  }

  /** While a store was down for eight seconds, each node once called it ten times per table. */
  @ParameterizedTest
  @ValueSource(ints = {71, 112})
  void storeThatIsDownIsCalledSeldom(int nodes) {
    int calls = 0;
    for (int node = 0; node < nodes; node++) {
      FollowPlan own = new FollowPlan(BOUNDS);
      WatchOrder order = new WatchOrder(node, nodes, false, true, List.of(RELAY, RELAY));
      for (long now = 0; now < TimeUnit.SECONDS.toNanos(8); now += millis(10)) {
        FollowState seen = state(order, 10, now, now);
        if (own.next(seen, now).kind().source() == FollowStep.Source.STORE) {
          calls++;
          own.onFailed(seen, now);
        }
      }
    }
    assertThat(calls).isLessThan(3 * nodes);
  }
}
