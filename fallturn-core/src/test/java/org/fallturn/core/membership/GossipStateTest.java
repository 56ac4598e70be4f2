package org.fallturn.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.membership.GossipSimulation.MILLI;
import static org.fallturn.core.membership.GossipSimulation.SECOND;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.PoolDigest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GossipStateTest {

  private static final GossipParameters SETTINGS = GossipParameters.defaults();

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void zonesConvergeDespiteLoss(long seed) {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, seed).lossRate(0.05);
    simulation.addZone("a", 20);
    simulation.addZone("b", 20);
    simulation.run(120 * SECOND);
    assertThat(simulation.disagreements()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void killedMemberIsDeadEverywhereInItsZoneAndInOthers(long seed) {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, seed).lossRate(0.05);
    List<NodeId> zone = simulation.addZone("a", 20);
    List<NodeId> other = simulation.addZone("b", 10);
    simulation.run(60 * SECOND);
    simulation.kill(zone.get(7));
    simulation.run(40 * SECOND);
    assertThat(simulation.seen(zone.get(0), zone.get(7))).isEqualTo(Member.State.DEAD);
    assertThat(simulation.seen(other.get(3), zone.get(7))).isEqualTo(Member.State.DEAD);
    assertThat(simulation.disagreements()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void pauseShorterThanTheSuspicionTimeoutNeverMakesAMemberDead(long seed) {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, seed).lossRate(0.05);
    List<NodeId> zone = simulation.addZone("a", 30);
    simulation.run(20 * SECOND);
    long shorter = SETTINGS.suspicionTimeout().toNanos() - 500 * MILLI;
    boolean suspected = false;
    simulation.pause(zone.get(11), shorter);
    for (int step = 0; step < 200; step++) {
      simulation.run(100 * MILLI);
      Member.State seen = simulation.seen(zone.get(0), zone.get(11));
      suspected |= seen == Member.State.SUSPECT;
      assertThat(seen).isNotEqualTo(Member.State.DEAD);
    }
    assertThat(suspected).as("the pause was long enough to be noticed").isTrue();
    assertThat(simulation.state(zone.get(11)).counters().refutations()).isPositive();
    assertThat(simulation.disagreements()).isEmpty();
  }

  @Test
  void longPausedMemberComesBackByRefutingItsDeath() {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, 5);
    List<NodeId> zone = simulation.addZone("a", 20);
    simulation.run(20 * SECOND);
    simulation.pause(zone.get(4), 30 * SECOND);
    simulation.run(29 * SECOND);
    assertThat(simulation.seen(zone.get(0), zone.get(4))).isEqualTo(Member.State.DEAD);
    simulation.run(31 * SECOND);
    assertThat(simulation.disagreements()).isEmpty();
  }

  @Test
  void partedZoneFindsTogetherAgain() {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, 6);
    List<NodeId> zone = simulation.addZone("a", 20);
    simulation.run(20 * SECOND);
    Set<NodeId> half = new HashSet<>(zone.subList(0, 10));
    simulation.cut((from, to) -> half.contains(from.node()) != half.contains(to.node()));
    simulation.run(60 * SECOND);
    assertThat(simulation.alive(zone.get(0))).isEqualTo(half);
    simulation.cut((from, to) -> false);
    simulation.run(60 * SECOND);
    assertThat(simulation.disagreements()).isEmpty();
  }

  @Test
  void silentZoneIsShownSuspectAndReturns() {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, 7);
    List<NodeId> here = simulation.addZone("a", 10);
    List<NodeId> there = simulation.addZone("b", 10);
    simulation.run(60 * SECOND);
    simulation.cut((from, to) -> !from.zone().equals(to.zone()));
    simulation.run(60 * SECOND);
    assertThat(simulation.seen(here.get(0), there.get(0))).isEqualTo(Member.State.SUSPECT);
    assertThat(simulation.seen(here.get(0), here.get(1))).isEqualTo(Member.State.ALIVE);
    simulation.cut((from, to) -> false);
    simulation.run(30 * SECOND);
    assertThat(simulation.disagreements()).isEmpty();
  }

  @Test
  void leavingSpreadsAtOnce() {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, 8).lossRate(0.05);
    List<NodeId> zone = simulation.addZone("a", 60);
    simulation.run(30 * SECOND);
    simulation.announceLeaving(zone.get(9));
    simulation.run(3 * SECOND);
    for (NodeId observer : zone) {
      assertThat(simulation.seen(observer, zone.get(9))).isEqualTo(Member.State.LEAVING);
    }
  }

  @Test
  void configurationVersionOfEveryMemberBecomesKnownInAllZones() {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, 9);
    List<NodeId> zone = simulation.addZone("a", 30);
    List<NodeId> other = simulation.addZone("b", 10);
    simulation.run(60 * SECOND);
    zone.subList(1, 30).forEach(id -> simulation.state(id).configurationVersion(17));
    simulation.run(60 * SECOND);
    MembershipView view = simulation.state(other.get(0)).view(simulation.nowNanos());
    assertThat(view.member(zone.get(0)).orElseThrow().configurationVersion()).isZero();
    assertThat(zone.subList(1, 30))
        .allMatch(id -> view.member(id).orElseThrow().configurationVersion() == 17);
  }

  @Test
  void newestPoolDigestReachesEveryNode() {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, 10);
    List<NodeId> zone = simulation.addZone("a", 20);
    List<NodeId> other = simulation.addZone("b", 20);
    simulation.run(60 * SECOND);
    PoolDigest first = digest(zone.get(0), 1);
    PoolDigest taken = digest(zone.get(1), 2);
    simulation.state(zone.get(1)).publish(taken, simulation.nowNanos());
    simulation.state(zone.get(0)).publish(first, simulation.nowNanos());
    simulation.run(60 * SECOND);
    for (NodeId id : List.of(zone.get(0), zone.get(19), other.get(0), other.get(19))) {
      assertThat(simulation.state(id).poolDigests().get(taken.pool())).isEqualTo(taken);
    }
  }

  @Test
  void costOfANodeDoesNotGrowWithTheZone() {
    long small = bytesOfANode(15);
    long large = bytesOfANode(120);
    assertThat(large).isLessThan(small * 2);
  }

  @Test
  void capHoldsWhenEverythingHappensAtOnce() {
    GossipParameters capped = SETTINGS.withBytesPerSecond(400);
    GossipSimulation simulation = new GossipSimulation(capped, 12);
    List<NodeId> zone = simulation.addZone("a", 40);
    simulation.run(10 * SECOND);
    zone.subList(20, 40).forEach(simulation::kill);
    simulation.run(50 * SECOND);
    long bound = 60 * 400 + 4 * 400;
    for (NodeId id : zone) {
      assertThat(simulation.state(id).counters().bytesSent()).isBetween(1L, bound);
    }
  }

  private static long bytesOfANode(int members) {
    GossipSimulation simulation = new GossipSimulation(SETTINGS, 11);
    simulation.addZone("a", members);
    simulation.run(180 * SECOND);
    long before = simulation.bytesDelivered();
    simulation.run(60 * SECOND);
    return (simulation.bytesDelivered() - before) / members;
  }

  private static PoolDigest digest(NodeId leader, long epoch) {
    PoolId pool = new PoolId(new ZoneName("a"), new ModelName("m"), 0);
    NetworkAddress address = new NetworkAddress("10.0.0.1", 9);
    return new PoolDigest(pool, new Epoch(epoch), 1, leader, address, 1, 1, 10, 10, 0);
  }
}
