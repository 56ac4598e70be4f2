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
 * What nodes that ask each other for rows know, and how often they call the store: all within the
 * bound of three seconds, with calls that hardly depend on the number of nodes.
 */
class FollowedFleetTest {

  private static final int NODES = 100;
  private static final int SETTLED_MILLIS = 3_000;

  /** The bound on changes, with some time left for what follows from them. */
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
  void oneChangeCostsFewCalls(int nodes) {
    FollowedFleet fleet = settled(1, nodes, 0);
    int calls = fleet.callsWhile(() -> assertThat(fleet.changeKnownAfter(1_000)).isLessThan(300));
    assertThat(calls).isLessThanOrEqualTo(4);
  }

  @Test
  void minuteWithoutChangesCostsLittleMoreThanItsConfirmations() {
    FollowedFleet fleet = settled(2, NODES, 0);
    assertThat(fleet.callsWhile(() -> fleet.run(60_000))).isLessThan(80);
  }

  @Test
  void nodesThatStartAtOnceReadOnce() {
    FollowedFleet fleet = new FollowedFleet(fleet(3, NODES));
    fleet.run(SETTLED_MILLIS);
    assertThat(fleet.calls).isLessThan(NODES * 3 / 2);
    assertThat(fleet.behind()).isEmpty();
  }

  @Test
  void lostDatagramsAreNoReasonForAllToCall() {
    FollowedFleet fleet = settled(4, NODES, 0.1);
    assertThat(fleet.callsWhile(() -> fleet.run(20_000))).isLessThan(NODES);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(1_000);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 12})
  void changeIsKnownInTimeThoughWatchersAreKilled(int killed) {
    FollowedFleet fleet = settled(5, NODES, 0);
    fleet.firstWatchers(killed).forEach(Follower::kill);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
    fleet.run(SETTLED_MILLIS);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(500);
  }

  @ParameterizedTest
  @EnumSource(
      value = Access.class,
      names = {"REFUSED", "SILENT"})
  void changeIsKnownInTimeThoughTheStoreTurnsTheWatchersAway(Access access) {
    FollowedFleet fleet = settled(6, NODES, 0);
    List<Follower> away = fleet.firstWatchers(NODES / 3);
    away.forEach(follower -> follower.access = access);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
    fleet.run(SETTLED_MILLIS);
    int calls = fleet.callsWhile(() -> fleet.run(9_000));
    assertThat(calls).isLessThan(NODES);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(1_500);
  }

  @Test
  void storeThatIsDownIsCalledSeldomAndHeardOfSoonAfterwards() {
    FollowedFleet fleet = settled(7, NODES, 0);
    fleet.followers.values().forEach(follower -> follower.access = Access.REFUSED);
    assertThat(fleet.callsWhile(() -> fleet.run(8_000))).isLessThan(4 * NODES);
    fleet.followers.values().forEach(follower -> follower.access = Access.SERVED);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(1_500);
  }

  /** A confirmation from the future would else keep all from the store for as long. */
  @Test
  void relayThatConfirmsFalselyIsBelievedForTheTrustedTimeOnly() {
    FollowedFleet fleet = settled(8, NODES, 0);
    Follower liar = fleet.firstWatchers(1).get(0);
    liar.access = Access.SILENT;
    liar.node.overlay.tables().onConfirmed(FollowedFleet.TABLE, 1L << 40);
    fleet.run(500);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
  }

  @Test
  void relayThatTellsOfAChangeThatIsNotThereCostsOneLookANode() {
    FollowedFleet fleet = settled(9, NODES, 0);
    fleet.firstWatchers(1).get(0).node.overlay.tables().onSeen(FollowedFleet.TABLE, 999);
    assertThat(fleet.callsWhile(() -> fleet.run(3_000))).isLessThan(NODES * 3 / 2);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(BOUND_MILLIS);
  }

  @Test
  void nodeThatHearsNobodyFollowsTheStore() {
    FollowedFleet fleet = settled(10, NODES, 0);
    Follower cutOff = fleet.followers.values().iterator().next();
    fleet.fleet.deafen(cutOff.node);
    fleet.run(SETTLED_MILLIS);
    assertThat(fleet.changeKnownAfter(BOUND_MILLIS)).isLessThan(500);
  }
}
