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

/** Nodes that tell each other of their load over a simulated network, in steps of 5 ms. */
final class SimulatedFleet {

  static final String ENGINE = "e-1";

  private static final int STEP_MILLIS = 5;
  private static final int DELAY_STEPS = 1;

  private final Random random;
  private final Map<NetworkAddress, Node> nodes = new HashMap<>();
  private final List<NetworkAddress> seeds = new ArrayList<>();
  private final Set<NetworkAddress> down = new HashSet<>();
  private final Set<NetworkAddress> deaf = new HashSet<>();
  private final Deque<Sent> wire = new ArrayDeque<>();
  private double loss;
  private long millis = 1_000;

  /** A message on its way. */
  private record Sent(long arrivesAtMillis, OutgoingPeerMessage outgoing) {}

  /** One node, which has one request at the engine. */
  static final class Node {
    final PeerInfo info;
    final PeerLoads loads = new PeerLoads();
    final RelayOverlay overlay;
    final Map<String, Long> heardOfPrompt = new HashMap<>();
    final Set<String> listed = new HashSet<>();
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

  /** The process ends, and another begins in its place that knows nothing. */
  Node restart(Node node) {
    Node begun = new Node(node.info, 2, seeds, nowNanos());
    nodes.put(node.info.address(), begun);
    down.remove(node.info.address());
    return begun;
  }

  Collection<Node> nodes() {
    return nodes.values();
  }

  void kill(Node node) {
    down.add(node.info.address());
  }

  /** It sends, but hears nothing. */
  void deafen(Node node) {
    deaf.add(node.info.address());
  }

  void setLoss(double part) {
    loss = part;
  }

  /** The requests that a node believes the others to have at the engine. */
  int believed(Node node) {
    return node.loads.running(ENGINE, nowNanos());
  }

  void place(Node node, String partId) {
    node.heardOfPrompt.put(partId, millis);
    node.overlay.addPrompts(
        List.of(new PlacedPrompt(ENGINE, 10, List.of(new PromptPart(partId, 5_000)))));
  }

  long millis() {
    return millis;
  }

  void run(int forMillis) {
    for (int passed = 0; passed < forMillis; passed += STEP_MILLIS) {
      millis += STEP_MILLIS;
      deliver();
      for (Node node : List.copyOf(nodes.values())) {
        if (!down.contains(node.info.address())) {
          List<OutgoingPeerMessage> messages = node.overlay.due(node::own, nowNanos());
          node.sent += messages.size();
          messages.forEach(this::send);
        }
      }
    }
  }

  private void send(OutgoingPeerMessage outgoing) {
    if (random.nextDouble() >= loss) {
      wire.add(new Sent(millis + (long) DELAY_STEPS * STEP_MILLIS, outgoing));
    }
  }

  private void deliver() {
    while (!wire.isEmpty() && wire.peekFirst().arrivesAtMillis <= millis) {
      OutgoingPeerMessage outgoing = wire.removeFirst().outgoing;
      Node target = nodes.get(outgoing.target());
      boolean lost =
          target == null || down.contains(outgoing.target()) || deaf.contains(outgoing.target());
      if (!lost) {
        receive(target, outgoing.message());
      }
    }
  }

  private void receive(Node node, PeerMessage message) {
    node.received++;
    node.overlay.onMessage(message, nowNanos());
    for (PlacedPrompt prompt : message.load().prompts()) {
      node.heardOfPrompt.putIfAbsent(prompt.parts().get(0).id(), millis);
    }
    message.listings().forEach(listing -> node.listed.add(listing.engineId()));
  }
}
