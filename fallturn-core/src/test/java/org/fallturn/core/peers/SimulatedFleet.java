package org.fallturn.core.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.dispatch.EngineDigest;
import org.fallturn.core.dispatch.PeerLoads;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.streams.StreamOrigin;

/** Nodes that exchange their load over a simulated network, in steps of 5 ms. */
final class SimulatedFleet {

  static final String ENGINE = "e-1";

  private static final int STEP_MILLIS = 5;
  private static final int DELAY_STEPS = 1;

  private final Random random;
  private final Map<NetworkAddress, Node> nodes = new HashMap<>();
  private final List<NetworkAddress> seeds = new ArrayList<>();
  private final Set<NetworkAddress> killed = new HashSet<>();
  private final Set<NetworkAddress> deafNodes = new HashSet<>();
  private final Deque<InFlight> network = new ArrayDeque<>();
  private double loss;
  private long millis = 1_000;

  /** A message in flight. */
  private record InFlight(long arrivesAtMillis, OutgoingPeerMessage outgoing) {}

  /** One node, which has one request at the engine. */
  static final class Node {
    final PeerInfo info;
    final PeerLoads loads = new PeerLoads();
    final RelayOverlay overlay;
    final Map<String, Long> promptHeardAtMillis = new HashMap<>();
    final Map<Long, Long> originHeardAtMillis = new HashMap<>();
    final Set<String> listedEngines = new HashSet<>();
    int running = 1;
    int sent;
    int received;

    Node(PeerInfo info, long incarnation, Collection<NetworkAddress> seeds, long nowNanos) {
      this.info = info;
      this.overlay =
          new RelayOverlay(
              info, "node-" + info.address().host(), incarnation, seeds, loads, nowNanos);
    }

    OwnLoad own() {
      EngineDigest digest = new EngineDigest(running, 0, List.of(), 0, 0, EngineDigest.NOT_HEARD);
      return new OwnLoad(
          running == 0 ? Map.of() : Map.of(ENGINE, digest), Map.of(), List.of(), true);
    }
  }

  SimulatedFleet(long seed) {
    this.random = new Random(seed);
  }

  long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  String zoneOf(NetworkAddress address) {
    return nodes.get(address).info.zone();
  }

  Node add(int number, String zone, int capacity) {
    NetworkAddress address = new NetworkAddress("10.0." + number / 200 + "." + number % 200, 7660);
    if (seeds.size() < 3) {
      seeds.add(address);
    }
    PeerInfo info = new PeerInfo(address, zone, capacity);
    Node node = new Node(info, 1, seeds, nowNanos());
    nodes.put(address, node);
    return node;
  }

  /** Ends the process of a node and starts another one in its place, which knows nothing. */
  Node restart(Node node) {
    Node restarted = new Node(node.info, 2, seeds, nowNanos());
    nodes.put(node.info.address(), restarted);
    killed.remove(node.info.address());
    return restarted;
  }

  Collection<Node> nodes() {
    return nodes.values();
  }

  void kill(Node node) {
    killed.add(node.info.address());
  }

  /** Stops a node from receiving. It still sends. */
  void deafen(Node node) {
    deafNodes.add(node.info.address());
  }

  void setLoss(double part) {
    loss = part;
  }

  /** The requests that, by a node's estimate, the other nodes have at the engine. */
  int estimatedRequests(Node node) {
    return node.loads.running(ENGINE, nowNanos());
  }

  void place(Node node, String partId) {
    node.promptHeardAtMillis.put(partId, millis);
    node.overlay.addPrompts(
        List.of(new PlacedPrompt(ENGINE, 10, List.of(new PromptPart(partId, 5_000)))));
  }

  void beginStream(Node node, long key) {
    node.originHeardAtMillis.put(key, millis);
    node.overlay.addOrigins(List.of(new StreamOrigin(key, "llm", "v1")));
  }

  long millis() {
    return millis;
  }

  void run(int forMillis) {
    for (int passed = 0; passed < forMillis; passed += STEP_MILLIS) {
      millis += STEP_MILLIS;
      deliver();
      for (Node node : List.copyOf(nodes.values())) {
        if (!killed.contains(node.info.address())) {
          List<OutgoingPeerMessage> messages = node.overlay.due(node::own, nowNanos());
          node.sent += messages.size();
          messages.forEach(this::send);
        }
      }
    }
  }

  private void send(OutgoingPeerMessage outgoing) {
    if (random.nextDouble() >= loss) {
      network.add(new InFlight(millis + (long) DELAY_STEPS * STEP_MILLIS, outgoing));
    }
  }

  private void deliver() {
    while (!network.isEmpty() && network.peekFirst().arrivesAtMillis <= millis) {
      OutgoingPeerMessage outgoing = network.removeFirst().outgoing;
      Node target = nodes.get(outgoing.target());
      boolean lost =
          target == null
              || killed.contains(outgoing.target())
              || deafNodes.contains(outgoing.target());
      if (!lost) {
        receive(target, outgoing.message());
      }
    }
  }

  private void receive(Node node, PeerMessage message) {
    node.received++;
    node.overlay.onMessage(message, nowNanos());
    for (PlacedPrompt prompt : message.load().prompts()) {
      node.promptHeardAtMillis.putIfAbsent(prompt.parts().get(0).id(), millis);
    }
    for (StreamOrigin origin : message.streams().origins()) {
      node.originHeardAtMillis.putIfAbsent(origin.key(), millis);
    }
    message.listings().forEach(listing -> node.listedEngines.add(listing.engineId()));
  }
}
