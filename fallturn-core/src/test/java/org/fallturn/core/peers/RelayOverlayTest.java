package org.fallturn.core.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.peers.SimulatedFleet.Node;
import org.fallturn.core.port.feed.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against nodes that lose sight of each other or count the load of a node twice, in fleets
 * of 1 to 338 nodes in which nodes are killed and cut off and messages get lost.
 */
class RelayOverlayTest {

  private static final int STRONG = 8_000;
  private static final int WEAK = 800;

  /** The time within which every node knows the load of all others. */
  private static final int SETTLED_MILLIS = 3_000;

  /** The most members of one relay, with twelve relays among 95 equal nodes. */
  private static final int MEMBERS_PER_RELAY = 12;

  /**
   * The time during which the members of a lost relay may count twice. Later, the members of a
   * relay that another one replaces may.
   */
  private static final int COUNTED_TWICE_MILLIS = 1_500;

  /** The delay that a node assumes for what it hears through a relay. */
  private static final int RELAY_LAG_MILLIS = 60;

  private static SimulatedFleet fleet(long seed, int nodes, int zones) {
    SimulatedFleet fleet = new SimulatedFleet(seed);
    for (int number = 0; number < nodes; number++) {
      boolean strong = number % 5 == 0;
      fleet.add(number, "zone-" + number % zones, strong ? STRONG : WEAK);
    }
    return fleet;
  }

  private static void assertEachNodeCountsAllOthers(SimulatedFleet fleet, int others) {
    for (Node node : fleet.nodes()) {
      assertThat(fleet.estimatedRequests(node)).as(node.info.toString()).isEqualTo(others);
      assertThat(node.loads.nodeCount(fleet.nowNanos())).isEqualTo(others + 1);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8, 13, 30, 66, 95, 338})
  void everyNodeCountsLoadOfAllOthersOnce(int nodes) {
    SimulatedFleet fleet = fleet(nodes, nodes, 6);
    fleet.run(SETTLED_MILLIS);
    assertEachNodeCountsAllOthers(fleet, nodes - 1);
    fleet.run(1_000);
    assertEachNodeCountsAllOthers(fleet, nodes - 1);
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  @Test
  void messagesPerNodeHardlyDependOnTheNumberOfNodes() {
    double few = maxMessagesPerSecond(8);
    double many = maxMessagesPerSecond(95);
    assertThat(few).isBetween(60.0, 80.0);
    assertThat(many).isLessThanOrEqualTo(4 * few);
    assertThat(meanMessagesPerSecond(95)).isLessThanOrEqualTo(few);
  }

  private static double maxMessagesPerSecond(int nodes) {
    SimulatedFleet fleet = measured(nodes);
    return fleet.nodes().stream()
            .mapToInt(node -> Math.max(node.sent, node.received))
            .max()
            .getAsInt()
        / 2.0;
  }

  private static double meanMessagesPerSecond(int nodes) {
    SimulatedFleet fleet = measured(nodes);
    return fleet.nodes().stream().mapToInt(node -> node.sent).average().getAsDouble() / 2.0;
  }

  private static SimulatedFleet measured(int nodes) {
    SimulatedFleet fleet = new SimulatedFleet(3);
    for (int number = 0; number < nodes; number++) {
      fleet.add(number, "zone-" + number % 6, STRONG);
    }
    fleet.run(SETTLED_MILLIS);
    fleet.nodes().forEach(node -> node.sent = node.received = 0);
    fleet.run(2_000);
    return fleet;
  }

  @ParameterizedTest
  @ValueSource(ints = {8, 95})
  void placedPromptIsKnownWithin100MillisInTheMedian(int nodes) {
    SimulatedFleet fleet = fleet(4, nodes, 6);
    fleet.run(SETTLED_MILLIS);
    Random random = new Random(5);
    List<Node> all = new ArrayList<>(fleet.nodes());
    List<Long> delays = new ArrayList<>();
    for (int prompt = 0; prompt < 20; prompt++) {
      String part = "part-" + prompt;
      fleet.place(all.get(random.nextInt(all.size())), part);
      long placed = fleet.millis();
      fleet.run(300 + 5 * random.nextInt(20));
      for (Node node : all) {
        assertThat(node.promptHeardAtMillis).as("told to all").containsKey(part);
        delays.add(node.promptHeardAtMillis.get(part) - placed);
      }
    }
    delays.sort(null);
    assertThat(delays.get(delays.size() / 2)).isLessThanOrEqualTo(100);
  }

  /**
   * A caller who comes back to another node waits there for 100 ms, and twice the delay by relays,
   * until the version that began its stream is known.
   */
  @ParameterizedTest
  @ValueSource(ints = {8, 66, 338})
  void beginningOfAStreamIsKnownWhileACallerWhoComesBackWaits(int nodes) {
    SimulatedFleet fleet = fleet(6, nodes, 6);
    fleet.run(SETTLED_MILLIS);
    Random random = new Random(7);
    List<Node> all = new ArrayList<>(fleet.nodes());
    for (long key = 1; key <= 20; key++) {
      fleet.beginStream(all.get(random.nextInt(all.size())), key);
      long begun = fleet.millis();
      fleet.run(300 + 5 * random.nextInt(20));
      for (Node node : all) {
        assertThat(node.originHeardAtMillis).as("reported to all").containsKey(key);
        int wait = node.overlay.isRelay() ? 100 : 100 + 2 * RELAY_LAG_MILLIS;
        assertThat(node.originHeardAtMillis.get(key) - begun).isLessThan(wait);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void fleetOfEqualNodesStaysSettledWhenRelaysAreKilled(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(seed);
    for (int number = 0; number < 95; number++) {
      fleet.add(number, "zone-" + number % 3, STRONG);
    }
    fleet.run(SETTLED_MILLIS);
    Random random = new Random(seed);
    List<Node> relays =
        new ArrayList<>(fleet.nodes().stream().filter(node -> node.overlay.isRelay()).toList());
    List<Node> killed = new ArrayList<>();
    for (int victim = 0; victim < 3; victim++) {
      Node node = relays.remove(random.nextInt(relays.size()));
      fleet.kill(node);
      killed.add(node);
    }
    for (int passed = 0; passed < 2 * SETTLED_MILLIS; passed += 100) {
      fleet.run(100);
      List<Node> alive = fleet.nodes().stream().filter(node -> !killed.contains(node)).toList();
      assertThat(alive.stream().filter(node -> node.overlay.isRelay()).count())
          .as("relays after %d ms", passed)
          .isBetween(9L, 20L);
      int most = 95 + MEMBERS_PER_RELAY * (passed < COUNTED_TWICE_MILLIS ? 3 : 2);
      for (Node node : alive) {
        assertThat(fleet.estimatedRequests(node))
            .as("after %d ms", passed)
            .isLessThanOrEqualTo(most);
      }
    }
    for (Node node : fleet.nodes()) {
      if (!killed.contains(node)) {
        assertThat(fleet.estimatedRequests(node)).isEqualTo(91);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void killedRelayIsReplacedAndForgotten(long seed) {
    SimulatedFleet fleet = fleet(seed, 40, 3);
    fleet.run(SETTLED_MILLIS);
    List<Node> relays = fleet.nodes().stream().filter(node -> node.overlay.isRelay()).toList();
    Node victim = relays.get((int) (seed % relays.size()));
    fleet.kill(victim);
    int millisWithoutView = 0;
    for (int passed = 0; passed < 2_000; passed += 50) {
      fleet.run(50);
      for (Node node : fleet.nodes()) {
        if (node != victim && fleet.estimatedRequests(node) < 20) {
          millisWithoutView += 50;
        }
      }
    }
    assertThat(millisWithoutView / fleet.nodes().size()).as("ms blind, a node").isLessThan(500);
    fleet.run(SETTLED_MILLIS);
    for (Node node : fleet.nodes()) {
      if (node != victim) {
        assertThat(fleet.estimatedRequests(node)).isEqualTo(38);
      }
    }
  }

  @Test
  void nodesRestartedTogetherKnowEachOtherWithinASecond() {
    SimulatedFleet fleet = fleet(6, 95, 6);
    fleet.run(SETTLED_MILLIS);
    List.copyOf(fleet.nodes()).forEach(fleet::restart);
    fleet.run(1_000);
    for (Node node : fleet.nodes()) {
      assertThat(fleet.estimatedRequests(node)).isEqualTo(94);
    }
  }

  @Test
  void relayThatHearsNothingIsReplaced() {
    SimulatedFleet fleet = fleet(7, 60, 3);
    fleet.run(SETTLED_MILLIS);
    Node relay =
        fleet.nodes().stream().filter(node -> node.overlay.isRelay()).findFirst().orElseThrow();
    fleet.deafen(relay);
    fleet.run(SETTLED_MILLIS);
    for (Node node : fleet.nodes()) {
      if (node != relay) {
        assertThat(fleet.estimatedRequests(node)).isBetween(58, 59);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void lostMessagesDistortLoadOnlyBriefly(long seed) {
    SimulatedFleet fleet = fleet(seed, 95, 6);
    fleet.setLoss(0.05);
    fleet.run(SETTLED_MILLIS);
    int wrong = 0;
    for (int passed = 0; passed < 5_000; passed += 100) {
      fleet.run(100);
      for (Node node : fleet.nodes()) {
        int estimatedRequests = fleet.estimatedRequests(node);
        wrong += estimatedRequests < 85 || estimatedRequests > 104 ? 1 : 0;
      }
    }
    assertThat(wrong / (50.0 * 95)).as("part of the time far from the truth").isLessThan(0.02);
  }

  @Test
  void weakNodesDoNotRelayWhileStrongOnesDo() {
    SimulatedFleet fleet = fleet(8, 95, 6);
    fleet.run(SETTLED_MILLIS);
    for (Node node : fleet.nodes()) {
      if (node.info.capacity() == WEAK) {
        assertThat(node.overlay.isRelay()).isFalse();
      }
    }
    List<Node> strong =
        fleet.nodes().stream().filter(node -> node.info.capacity() == STRONG).toList();
    strong.forEach(fleet::kill);
    fleet.run(2 * SETTLED_MILLIS);
    for (Node node : fleet.nodes()) {
      if (!strong.contains(node)) {
        assertThat(fleet.estimatedRequests(node)).isEqualTo(95 - strong.size() - 1);
      }
    }
  }

  @Test
  void nodeCountIsEmptyBeforeAnyNodeIsHeardAndDoesNotGrowWhenRelaysChange() {
    SimulatedFleet fleet = fleet(9, 40, 3);
    Node first = fleet.nodes().iterator().next();
    assertThat(first.overlay.conservativeNodeCount(fleet.nowNanos())).isEmpty();
    runAndCountNodes(fleet, SETTLED_MILLIS);
    Node relay =
        fleet.nodes().stream().filter(node -> node.overlay.isRelay()).findFirst().orElseThrow();
    fleet.kill(relay);
    runAndCountNodes(fleet, 3 * SETTLED_MILLIS);
    for (Node node : fleet.nodes()) {
      if (node != relay) {
        assertThat(node.overlay.conservativeNodeCount(fleet.nowNanos()).orElseThrow())
            .isBetween(40, 44);
      }
    }
  }

  /**
   * A bound over the whole fleet is divided by the number of nodes. When all processes ended at
   * once, each new one first counted the few that it had heard so far and took its part by that: at
   * 95 nodes the parts added up to ten times the bound within the first second.
   */
  @ParameterizedTest
  @CsvSource({"8,1", "30,1", "95,1", "338,1", "30,0.6", "95,0.6", "338,0.6", "95,0.3"})
  void partsOfABoundAddUpToNoMoreThanTheBoundWhenManyNodesRestart(int nodes, double restarted) {
    for (int spreadMillis : new int[] {20, 300, 1_000}) {
      SimulatedFleet fleet = fleet(nodes, nodes, 4);
      runAndCountNodes(fleet, 2 * SETTLED_MILLIS);
      Map<Node, Integer> returnMillis = killSome(fleet, restarted, spreadMillis);
      fleet.run(1_000);
      Map<NetworkAddress, Double> largestParts = new HashMap<>();
      for (int passed = 0; passed < 2 * SETTLED_MILLIS; passed += 20) {
        int now = passed;
        returnMillis.forEach(
            (node, at) -> {
              if (at / 20 == now / 20) {
                fleet.restart(node);
              }
            });
        fleet.run(20);
        for (Node node : fleet.nodes()) {
          OptionalInt count = node.overlay.conservativeNodeCount(fleet.nowNanos());
          if (node.overlay.nodeCountSettled(fleet.nowNanos())) {
            largestParts.merge(node.info.address(), 1.0 / count.orElseThrow(), Math::max);
          }
        }
      }
      assertThat(largestParts).as("all know the count in the end").hasSize(nodes);
      assertThat(largestParts.values().stream().mapToDouble(part -> part).sum())
          .as("restarts spread over %d ms", spreadMillis)
          .isLessThanOrEqualTo(1.000_001);
    }
  }

  /** Ends the processes of some nodes; returns when, from now, a new one of each starts. */
  private static Map<Node, Integer> killSome(
      SimulatedFleet fleet, double fraction, int spreadMillis) {
    List<Node> victims = new ArrayList<>(fleet.nodes());
    Random random = new Random(4);
    Collections.shuffle(victims, random);
    Map<Node, Integer> returnMillis = new HashMap<>();
    for (Node victim : victims.subList(0, (int) (fraction * victims.size()))) {
      fleet.kill(victim);
      returnMillis.put(victim, random.nextInt(spreadMillis));
    }
    return returnMillis;
  }

  private static void runAndCountNodes(SimulatedFleet fleet, int forMillis) {
    for (int passed = 0; passed < forMillis; passed += 100) {
      fleet.run(100);
      fleet.nodes().forEach(node -> node.overlay.conservativeNodeCount(fleet.nowNanos()));
    }
  }

  @Test
  void oneNodePollsAnEngineAndItsListingReachesAllNodes() {
    SimulatedFleet fleet = fleet(10, 95, 6);
    fleet.run(SETTLED_MILLIS);
    List<Node> polling =
        fleet.nodes().stream()
            .filter(node -> node.overlay.pollsEngine(SimulatedFleet.ENGINE, fleet.nowNanos()))
            .toList();
    assertThat(polling).hasSize(1);
    CacheListing listing =
        CacheListing.of(SimulatedFleet.ENGINE, 0, List.of(new PromptPart("aa", 9_000)));
    polling.get(0).overlay.addListing(listing, fleet.nowNanos());
    fleet.run(500);
    for (Node node : fleet.nodes()) {
      assertThat(node.listedEngines.contains(SimulatedFleet.ENGINE) || node == polling.get(0))
          .isTrue();
    }
  }

  @Test
  void restartedNodeAsksOneOtherForAllListings() {
    SimulatedFleet fleet = fleet(11, 30, 3);
    fleet.run(SETTLED_MILLIS);
    Node started = fleet.restart(fleet.nodes().iterator().next());
    started.overlay.setWantsListings(true);
    fleet.run(400);
    long asked = fleet.nodes().stream().filter(node -> node.overlay.hasListingRequests()).count();
    assertThat(asked).isBetween(1L, 2L);
  }

  private static List<Node> watchers(SimulatedFleet fleet) {
    return fleet.nodes().stream().filter(node -> node.overlay.watchOrder().rank() < 3).toList();
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 8, 95})
  void threeRelaysRankFirstAsWatchersAndOthersReplaceThem(int nodes) {
    SimulatedFleet fleet = new SimulatedFleet(12);
    for (int number = 0; number < nodes; number++) {
      fleet.add(number, "zone-" + number % 3, STRONG);
    }
    fleet.run(SETTLED_MILLIS);
    List<Node> first = watchers(fleet);
    assertThat(first).hasSize(Math.min(3, nodes));
    assertThat(first).extracting(node -> node.overlay.watchOrder().rank()).doesNotHaveDuplicates();
    first.forEach(fleet::kill);
    fleet.run(SETTLED_MILLIS);
    List<Node> second = new ArrayList<>(watchers(fleet));
    second.removeAll(first);
    assertThat(second).hasSizeBetween(Math.min(3, nodes - first.size()), 5);
  }

  @Test
  void singleNodeRanksFirstAsWatcher() {
    SimulatedFleet fleet = fleet(12, 1, 1);
    fleet.run(SETTLED_MILLIS);
    assertThat(fleet.nodes().iterator().next().overlay.watchOrder())
        .isEqualTo(WatchOrder.ofOne(false));
  }

  /** Nodes must ask in their own zone for rows, since traffic between zones has a price. */
  @Test
  void nodesAskTheirRelayForRowsFirst() {
    SimulatedFleet fleet = fleet(14, 95, 6);
    fleet.run(SETTLED_MILLIS);
    for (Node node : fleet.nodes()) {
      List<NetworkAddress> askable = node.overlay.watchOrder().askable();
      assertThat(askable).isNotEmpty().doesNotContain(node.info.address());
      if (!node.overlay.isRelay()) {
        assertThat(fleet.zoneOf(askable.get(0))).isEqualTo(node.info.zone());
      }
    }
  }

  private static long sinceConfirmed(SimulatedFleet fleet, Node node) {
    return node.overlay.tables().sinceConfirmedByOthers("engines", fleet.nowNanos());
  }

  @Test
  void repeatedConfirmationCountsOnce() {
    SimulatedFleet fleet = fleet(15, 95, 6);
    fleet.run(SETTLED_MILLIS);
    Node first = fleet.nodes().iterator().next();
    first.overlay.tables().onConfirmed("engines", at(57), 4_000);
    fleet.run(500);
    for (Node node : fleet.nodes()) {
      assertThat(node == first || sinceConfirmed(fleet, node) <= 500_000_000L).isTrue();
    }
    fleet.run(1_000);
    first.overlay.tables().onConfirmed("engines", at(57), 4_000);
    fleet.run(500);
    for (Node node : fleet.nodes()) {
      assertThat(node == first || sinceConfirmed(fleet, node) > 1_000_000_000L).isTrue();
    }
  }

  @Test
  void changeSeenByOneNodeIsKnownToAll() {
    SimulatedFleet fleet = fleet(13, 95, 6);
    fleet.run(SETTLED_MILLIS);
    fleet.nodes().iterator().next().overlay.tables().onSeen("engines", at(57));
    fleet.run(500);
    for (Node node : fleet.nodes()) {
      assertThat(node.overlay.tables().newest("engines")).isEqualTo(at(57));
    }
  }
}
