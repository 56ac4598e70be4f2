package org.fallturn.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;

/**
 * Writes messages: gives each its number, fills it with waiting payloads up to the datagram bound,
 * and holds the cap of bytes a second. What does not fit the cap is not sent. Payloads for the own
 * zone and for each other zone wait in queues of their own. Not thread-safe.
 */
final class MessageWriter {

  /** IPv4 and UDP headers of one datagram. */
  static final int HEADER_BYTES = 28;

  private static final int MAX_KEY_CHARACTERS = 64;

  private final GossipParameters settings;
  private final MemberTable table;
  private final MessageSizer sizer;
  private final long session;
  private final ByteBudget budget;
  private final BroadcastQueue zoneQueue = new BroadcastQueue();
  private final Map<ZoneName, BroadcastQueue> remoteQueues = new HashMap<>();
  private final List<OutgoingMessage> outbox = new ArrayList<>();
  private long now;
  private long sequence;
  private long machineListVersion;
  private long bytesSent;
  private long messagesOverBudget;

  MessageWriter(GossipParameters settings, MemberTable table, MessageSizer sizer, long nowNanos) {
    this.now = nowNanos;
    this.settings = settings;
    this.table = table;
    this.sizer = sizer;
    this.session = table.self().incarnation();
    this.budget = new ByteBudget(settings.bytesPerSecond(), nowNanos);
  }

  void machineListVersion(long version) {
    machineListVersion = version;
  }

  long machineListVersion() {
    return machineListVersion;
  }

  long messagesSent() {
    return sequence - messagesOverBudget;
  }

  long bytesSent() {
    return bytesSent;
  }

  long messagesOverBudget() {
    return messagesOverBudget;
  }

  /** Payloads waiting for members of the own zone. */
  BroadcastQueue zoneQueue() {
    return zoneQueue;
  }

  /** Payloads waiting for a zone. */
  BroadcastQueue queue(ZoneName zone) {
    return zone.equals(table.self().zone())
        ? zoneQueue
        : remoteQueues.computeIfAbsent(zone, ignored -> new BroadcastQueue());
  }

  /** Takes what is to be sent now. */
  List<OutgoingMessage> drain() {
    List<OutgoingMessage> sent = List.copyOf(outbox);
    outbox.clear();
    return sent;
  }

  /** Sends a probe or an answer, with what fits beside it. */
  void send(NodeId to, NetworkAddress address, ZoneName zone, GossipBody body) {
    GossipMessage bare = bare(to, body);
    List<GossipPayload> first = aboutReceiver(to);
    write(address, bare, first, queue(zone));
  }

  /** Sends a message that introduces this node to a node that may not know it. */
  void introduce(NodeId to, NetworkAddress address, GossipBody body) {
    List<GossipPayload> first = new ArrayList<>(aboutReceiver(to));
    first.add(GossipPayload.MemberUpdate.of(table.self()));
    write(address, bare(to, body), first, null);
  }

  /** Sends a page of given payloads, as many as fit; returns how many that were. */
  int sendPage(NodeId to, NetworkAddress address, List<GossipPayload> payloads, String noMore) {
    GossipMessage probe = bare(to, new GossipBody.SyncPage("x".repeat(MAX_KEY_CHARACTERS)));
    long room = room(sizer.messageBytes(probe), budget.reserve());
    List<GossipPayload> page = new ArrayList<>();
    for (GossipPayload payload : payloads) {
      int bytes = sizer.payloadBytes(payload);
      if (bytes > room) {
        break;
      }
      room -= bytes;
      page.add(payload);
    }
    if (page.isEmpty() && !payloads.isEmpty()) {
      return 0;
    }
    boolean complete = page.size() == payloads.size();
    String last = complete ? noMore : page.get(page.size() - 1).key();
    GossipMessage message =
        new GossipMessage(
            probe.from(),
            probe.session(),
            probe.sequence(),
            to,
            probe.configurationVersion(),
            probe.machineListVersion(),
            new GossipBody.SyncPage(last),
            page);
    emit(address, message);
    return page.size();
  }

  private GossipMessage bare(NodeId to, GossipBody body) {
    return new GossipMessage(
        table.self().node(),
        session,
        ++sequence,
        to,
        table.self().configurationVersion(),
        machineListVersion,
        body,
        List.of());
  }

  /** What the receiver must know to refute it. */
  private List<GossipPayload> aboutReceiver(NodeId to) {
    return table
        .get(to)
        .filter(
            member -> member.state() == Member.State.SUSPECT || member.state() == Member.State.DEAD)
        .<List<GossipPayload>>map(member -> List.of(GossipPayload.MemberUpdate.of(member)))
        .orElse(List.of());
  }

  private void write(
      NetworkAddress address, GossipMessage bare, List<GossipPayload> first, BroadcastQueue queue) {
    int bytes = sizer.messageBytes(bare);
    List<GossipPayload> carried = new ArrayList<>(first);
    for (GossipPayload payload : first) {
      bytes += sizer.payloadBytes(payload);
    }
    if (queue != null) {
      carried.addAll(
          queue.take(room(bytes, budget.smallReserve()), room(bytes, budget.reserve()), sizer));
    }
    emit(address, bare.withPayloads(carried));
  }

  private long room(int usedBytes, long reserveBytes) {
    long underCap = budget.available(now, reserveBytes) - usedBytes - HEADER_BYTES;
    return Math.min(settings.maxDatagramBytes() - (long) usedBytes, underCap);
  }

  private void emit(NetworkAddress address, GossipMessage message) {
    int bytes = sizer.messageBytes(message.withPayloads(List.of())) + HEADER_BYTES;
    for (GossipPayload payload : message.payloads()) {
      bytes += sizer.payloadBytes(payload);
    }
    if (!budget.take(now, bytes)) {
      messagesOverBudget++;
      return;
    }
    bytesSent += bytes;
    outbox.add(new OutgoingMessage(address, message));
  }

  /** Moves the writer's clock. */
  void at(long nowNanos) {
    now = nowNanos;
  }
}
