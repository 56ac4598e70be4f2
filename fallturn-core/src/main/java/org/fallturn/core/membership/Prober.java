package org.fallturn.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;

/**
 * Failure detector of SWIM: each period one member of the zone, in shuffled rounds, is pinged,
 * after a timeout through a few others. A member that answered neither way by the end of the period
 * has failed the probe. Not thread-safe.
 */
final class Prober {

  private final GossipParameters settings;
  private final MemberTable table;
  private final MessageWriter writer;
  private final Random random;
  private final List<NodeId> round = new ArrayList<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private long lastProbe;
  private long nextProbeNanos;
  private Member target;
  private long targetProbe;
  private long sentNanos;
  private boolean askedOthers;

  Prober(
      GossipParameters settings,
      MemberTable table,
      MessageWriter writer,
      Random random,
      long nowNanos) {
    this.settings = settings;
    this.table = table;
    this.writer = writer;
    this.random = random;
    this.nextProbeNanos = nowNanos + random.nextLong(settings.probePeriod().toNanos());
  }

  /** Moves on; returns the member that failed its probe just now. */
  Optional<NodeId> tick(long nowNanos) {
    askOthersWhenLate(nowNanos);
    if (nowNanos - nextProbeNanos < 0) {
      return Optional.empty();
    }
    Optional<NodeId> failed = Optional.ofNullable(target).map(Member::node);
    dropOldRelays(nowNanos);
    nextProbeNanos = nowNanos + settings.probePeriod().toNanos();
    startNext(nowNanos);
    return failed;
  }

  /** Gives up the probe under way without blaming its target. */
  void abandon() {
    target = null;
  }

  /** An answer came; passes it on when it was asked for on behalf of another. */
  void onAck(long probe) {
    if (target != null && probe == targetProbe) {
      target = null;
    }
    Relay relay = relays.remove(probe);
    if (relay != null) {
      writer.send(
          relay.requester,
          relay.requesterAddress,
          table.self().zone(),
          new GossipBody.Ack(relay.probe));
    }
  }

  /** Pings a member on behalf of another. */
  void onPingRequest(
      NodeId requester,
      NetworkAddress requesterAddress,
      GossipBody.PingRequest request,
      long nowNanos) {
    long probe = ++lastProbe;
    relays.put(probe, new Relay(requester, requesterAddress, request.probe(), nowNanos));
    writer.send(
        request.target(), request.targetAddress(), table.self().zone(), new GossipBody.Ping(probe));
  }

  private void askOthersWhenLate(long nowNanos) {
    if (target == null || askedOthers || nowNanos - sentNanos < settings.probeTimeout().toNanos()) {
      return;
    }
    askedOthers = true;
    List<Member> helpers = new ArrayList<>(table.others(table.self().zone()));
    helpers.removeIf(
        member -> member.node().equals(target.node()) || member.state() != Member.State.ALIVE);
    Collections.shuffle(helpers, random);
    int count = Math.min(settings.indirectProbes(), helpers.size());
    for (Member helper : helpers.subList(0, count)) {
      GossipBody body =
          new GossipBody.PingRequest(targetProbe, target.node(), target.gossipAddress());
      writer.send(helper.node(), helper.gossipAddress(), helper.zone(), body);
    }
  }

  private void startNext(long nowNanos) {
    target = nextTarget().orElse(null);
    if (target == null) {
      return;
    }
    targetProbe = ++lastProbe;
    sentNanos = nowNanos;
    askedOthers = false;
    writer.send(
        target.node(), target.gossipAddress(), target.zone(), new GossipBody.Ping(targetProbe));
  }

  private Optional<Member> nextTarget() {
    if (round.isEmpty()) {
      table.others(table.self().zone()).forEach(member -> round.add(member.node()));
      Collections.sort(round);
      Collections.shuffle(round, random);
    }
    while (!round.isEmpty()) {
      NodeId node = round.remove(round.size() - 1);
      Optional<Member> member = table.get(node).filter(known -> known.state() != Member.State.DEAD);
      if (member.isPresent()) {
        return member;
      }
    }
    return Optional.empty();
  }

  private void dropOldRelays(long nowNanos) {
    long keep = settings.probePeriod().toNanos();
    Iterator<Relay> iterator = relays.values().iterator();
    while (iterator.hasNext()) {
      if (nowNanos - iterator.next().startedNanos > keep) {
        iterator.remove();
      }
    }
  }

  /** A ping under way on behalf of another member. */
  private record Relay(
      NodeId requester, NetworkAddress requesterAddress, long probe, long startedNanos) {}
}
