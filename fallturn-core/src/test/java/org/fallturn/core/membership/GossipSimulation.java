package org.fallturn.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;

/**
 * Nodes that gossip over a network of virtual time which loses and delays messages. One seed
 * decides everything.
 */
final class GossipSimulation {

  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000 * MILLI;

  private static final long TICK_NANOS = 100 * MILLI;
  private static final int MAX_DELAY_MICROS = 3_000;

  private final GossipParameters settings;
  private final Random random;
  private final Map<NodeId, Node> nodes = new LinkedHashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private double lossRate;
  private BiPredicate<Member, Member> cut = (from, to) -> false;
  private long nowNanos;
  private long eventCount;
  private long bytesDelivered;

  GossipSimulation(GossipParameters settings, long seed) {
    this.settings = settings;
    this.random = new Random(seed);
  }

  GossipSimulation lossRate(double rate) {
    lossRate = rate;
    return this;
  }

  void cut(BiPredicate<Member, Member> newCut) {
    cut = newCut;
  }

  long nowNanos() {
    return nowNanos;
  }

  long bytesDelivered() {
    return bytesDelivered;
  }

  /** Adds nodes of a zone; all nodes of the simulation so far are their seeds, and they theirs. */
  List<NodeId> addZone(String zone, int count) {
    List<NodeId> added = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      added.add(add(zone, zone + "-" + index));
    }
    seedAll();
    return added;
  }

  NodeId add(String zone, String name) {
    NodeId id = new NodeId(name);
    int port = 10_000 + nodes.size();
    Member self =
        new Member(
            id,
            new RegionName("region"),
            new ZoneName(zone),
            new NetworkAddress("10.0.0.1", port),
            new NetworkAddress("10.0.0.2", port),
            1,
            Member.State.ALIVE,
            0);
    GossipState state =
        new GossipState(
            settings,
            self,
            new EstimatedSizer(),
            GossipListener.none(),
            random.nextLong(),
            nowNanos);
    nodes.put(id, new Node(self, state));
    schedule(nowNanos + random.nextLong(TICK_NANOS), id, null, null);
    return id;
  }

  void seedAll() {
    List<GossipSeed> seeds =
        nodes.values().stream()
            .map(n -> new GossipSeed(n.self.node(), n.self.zone(), n.self.gossipAddress()))
            .toList();
    nodes.values().forEach(node -> node.state.seeds(seeds));
  }

  GossipState state(NodeId id) {
    return nodes.get(id).state;
  }

  Member.State seen(NodeId observer, NodeId subject) {
    return state(observer)
        .view(nowNanos)
        .member(subject)
        .map(Member::state)
        .orElse(Member.State.DEAD);
  }

  void kill(NodeId id) {
    nodes.get(id).killed = true;
  }

  void pause(NodeId id, long nanos) {
    nodes.get(id).pausedUntilNanos = nowNanos + nanos;
  }

  void announceLeaving(NodeId id) {
    send(id, state(id).announceLeaving(nowNanos));
  }

  /** Runs for a while. */
  void run(long nanos) {
    long end = nowNanos + nanos;
    while (!events.isEmpty() && events.peek().atNanos <= end) {
      Event event = events.poll();
      nowNanos = event.atNanos;
      handle(event);
    }
    nowNanos = end;
  }

  /** Where a live node does not see exactly the live nodes as alive. */
  List<String> disagreements() {
    Set<NodeId> live = new HashSet<>();
    nodes.values().stream().filter(n -> !n.killed).forEach(n -> live.add(n.self.node()));
    List<String> disagreements = new ArrayList<>();
    for (NodeId observer : live) {
      Set<NodeId> alive = alive(observer);
      for (NodeId subject : nodes.keySet()) {
        if (alive.contains(subject) != live.contains(subject)) {
          disagreements.add(observer + " sees " + subject + " as " + seen(observer, subject));
        }
      }
    }
    return disagreements;
  }

  Set<NodeId> alive(NodeId observer) {
    Set<NodeId> alive = new HashSet<>();
    for (Member member : state(observer).view(nowNanos).members().values()) {
      if (member.state() == Member.State.ALIVE) {
        alive.add(member.node());
      }
    }
    return alive;
  }

  private void handle(Event event) {
    Node node = nodes.get(event.node);
    if (node.killed) {
      return;
    }
    if (node.pausedUntilNanos > nowNanos) {
      schedule(node.pausedUntilNanos, event.node, event.message, event.source);
      return;
    }
    if (event.message == null) {
      send(event.node, node.state.onTick(nowNanos));
      schedule(nowNanos + TICK_NANOS, event.node, null, null);
    } else {
      send(event.node, node.state.onMessage(event.message, event.source, nowNanos));
    }
  }

  private void send(NodeId from, List<OutgoingMessage> messages) {
    Node sender = nodes.get(from);
    for (OutgoingMessage outgoing : messages) {
      Node receiver = nodes.get(outgoing.message().to());
      if (receiver == null
          || random.nextDouble() < lossRate
          || cut.test(sender.self, receiver.self)) {
        continue;
      }
      bytesDelivered += EstimatedSizer.total(outgoing.message());
      long delay = (200 + random.nextInt(MAX_DELAY_MICROS)) * 1_000L;
      schedule(
          nowNanos + delay,
          outgoing.message().to(),
          outgoing.message(),
          sender.self.gossipAddress());
    }
  }

  private void schedule(long at, NodeId node, GossipMessage message, NetworkAddress source) {
    events.add(new Event(at, eventCount++, node, message, source));
  }

  /** One node with what was done to it. */
  private static final class Node {
    private final Member self;
    private final GossipState state;
    private boolean killed;
    private long pausedUntilNanos;

    Node(Member self, GossipState state) {
      this.self = self;
      this.state = state;
    }
  }

  /** A tick, or a message when there is one. */
  private record Event(
      long atNanos, long order, NodeId node, GossipMessage message, NetworkAddress source)
      implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** About the lengths that the JSON codec gives. */
  static final class EstimatedSizer implements MessageSizer {

    @Override
    public int messageBytes(GossipMessage message) {
      return 80;
    }

    @Override
    public int payloadBytes(GossipPayload payload) {
      if (payload instanceof GossipPayload.VersionReport) {
        return 24;
      }
      return 90;
    }

    static long total(GossipMessage message) {
      EstimatedSizer sizer = new EstimatedSizer();
      long payloads = message.payloads().stream().mapToLong(sizer::payloadBytes).sum();
      return sizer.messageBytes(message) + payloads + MessageWriter.HEADER_BYTES;
    }
  }
}
