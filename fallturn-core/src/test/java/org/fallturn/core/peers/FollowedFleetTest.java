package org.fallturn.core.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fallturn.core.peers.FollowedFleet.Access;
import org.fallturn.core.peers.FollowedFleet.Follower;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against nodes that learn of a change too late, or call the store too often, when they ask
 * each other for rows. All must know a change within the bound of three seconds, with calls that
 * hardly depend on the number of nodes.
 */
class FollowedFleetTest {

  private static final int NODES = 100;
  private static final int SETTLED_MILLIS = 3_000;

  /** The bound on changes, less some time for what follows from them. */
  private static final int BOUND_MILLIS = 2_500;

  private static FollowedFleet settled(long seed, int nodes, double loss) {
    FollowedFleet fleet = new FollowedFleet(fleet(seed, nodes));
    fleet.fleet.setLoss(loss);
    fleet.run(SETTLED_MILLIS);
    return fleet;
  }

  private static SimulatedFleet fleet(long seed, int nodes) {
    SimulatedFleet fleet = new SimulatedFleet(seed);
    for (int number = 0; number < nodes; number++) {
      fleet.add(number, "zone-" + number % 3, 800);
    }
    return fleet;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 8, 100})
  void changeCostsFewCalls(int nodes) {
    FollowedFleet fleet = settled(1, nodes, 0);
    int calls =
        fleet.callsWhile(() -> assertThat(fleet.millisUntilChangeIsKnown(1_000)).isLessThan(300));
    assertThat(calls).isLessThanOrEqualTo(4);
  }

  @Test
  void minuteWithoutChangesCostsLittleMoreThanItsConfirmations() {
    FollowedFleet fleet = settled(2, NODES, 0);
    assertThat(fleet.callsWhile(() -> fleet.run(60_000))).isLessThan(80);
  }

  @Test
  void nodesThatStartTogetherReadOnce() {
    FollowedFleet fleet = new FollowedFleet(fleet(3, NODES));
    fleet.run(SETTLED_MILLIS);
    assertThat(fleet.calls).isLessThan(NODES * 3 / 2);
    assertThat(fleet.behind()).isEmpty();
  }

  @Test
  void lostDatagramsDoNotMakeAllNodesCall() {
    FollowedFleet fleet = settled(4, NODES, 0.1);
    assertThat(fleet.callsWhile(() -> fleet.run(20_000))).isLessThan(NODES);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(1_000);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 12})
  void changeIsKnownInTimeWhenWatchersAreKilled(int killed) {
    FollowedFleet fleet = settled(5, NODES, 0);
    fleet.firstWatchers(killed).forEach(Follower::kill);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
    fleet.run(SETTLED_MILLIS);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(500);
  }

  @ParameterizedTest
  @EnumSource(
      value = Access.class,
      names = {"REFUSED", "SILENT"})
  void changeIsKnownInTimeWhenTheStoreRejectsTheWatchers(Access access) {
    FollowedFleet fleet = settled(6, NODES, 0);
    List<Follower> rejected = fleet.firstWatchers(NODES / 3);
    rejected.forEach(follower -> follower.access = access);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
    fleet.run(SETTLED_MILLIS);
    int calls = fleet.callsWhile(() -> fleet.run(9_000));
    assertThat(calls).isLessThan(NODES);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(1_500);
  }

  @Test
  void failedStoreIsCalledSeldomAndFollowedSoonAfterRecovery() {
    FollowedFleet fleet = settled(7, NODES, 0);
    fleet.followers.values().forEach(follower -> follower.access = Access.REFUSED);
    assertThat(fleet.callsWhile(() -> fleet.run(8_000))).isLessThan(4 * NODES);
    fleet.followers.values().forEach(follower -> follower.access = Access.SERVED);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(1_500);
  }

  /**
   * A confirmation from the future must not keep all nodes from calling the store until that time.
   */
  @Test
  void falseConfirmationCountsForTheTrustedTimeOnly() {
    FollowedFleet fleet = settled(8, NODES, 0);
    Follower faulty = fleet.firstWatchers(1).get(0);
    faulty.access = Access.SILENT;
    faulty.node.overlay.tables().onConfirmed(FollowedFleet.TABLE, FollowedFleet.at(1), 1L << 40);
    fleet.run(500);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
  }

  @Test
  void reportOfMissingChangeCostsOneCallPerNode() {
    FollowedFleet fleet = settled(9, NODES, 0);
    fleet
        .firstWatchers(1)
        .get(0)
        .node
        .overlay
        .tables()
        .onSeen(FollowedFleet.TABLE, FollowedFleet.at(999));
    assertThat(fleet.callsWhile(() -> fleet.run(3_000))).isLessThan(NODES * 3 / 2);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
  }

  /**
   * All nodes kept their copies until the store's counter had passed the version that they had
   * read, since lower versions counted as older ones.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 9, 100})
  void changeOfARestoredStoreIsKnownInTimeAndCostsFewCalls(int nodes) {
    FollowedFleet fleet = settled(11, nodes, 0);
    for (int change = 0; change < 20; change++) {
      assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
    }
    fleet.restoreStore(15);
    int calls =
        fleet.callsWhile(
            () ->
                assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(BOUND_MILLIS));
    assertThat(calls).isLessThan(10 + nodes / 2);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(500);
  }

  /** Two restores in a row, and a store that refuses a third of the nodes meanwhile. */
  @Test
  void nodesThatOnlyHearOthersLearnOfTheRestoreFromThem() {
    FollowedFleet fleet = settled(12, NODES, 0);
    fleet.millisUntilChangeIsKnown(BOUND_MILLIS);
    fleet.firstWatchers(NODES / 3).forEach(follower -> follower.access = Access.REFUSED);
    fleet.restoreStore(1);
    fleet.run(200);
    fleet.restoreStore(0);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
  }

  @Test
  void nodeThatHearsNoOtherFollowsTheStore() {
    FollowedFleet fleet = settled(10, NODES, 0);
    Follower cutOff = fleet.followers.values().iterator().next();
    fleet.fleet.deafen(cutOff.node);
    fleet.run(SETTLED_MILLIS);
    assertThat(fleet.millisUntilChangeIsKnown(BOUND_MILLIS)).isLessThan(500);
  }
}
