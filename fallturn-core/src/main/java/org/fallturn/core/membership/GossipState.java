package org.fallturn.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.PoolDigest;

/**
 * Gossip membership of one node after SWIM: members of the zone probe each other, news ride on the
 * probes, a few bridges link the zones. Messages and the clock come in, messages go out; the seed
 * decides every choice. A member becomes dead only when it failed a probe and did not refute for
 * the suspicion timeout. Not thread-safe: one duty thread calls it.
 */
public final class GossipState {

  private static final int RECONNECT_PERIODS = 5;
  private static final int HUNGRY_FACTOR = 4;
  private static final int DISAGREEMENT_PERIODS = 5;
  private static final long NO_PROBE = 0;
  private static final int STALLED_PERIODS = 2;

  private final GossipParameters settings;
  private final MemberTable table;
  private final MessageWriter writer;
  private final ZoneDigests zones;
  private final Disseminator disseminator;
  private final Prober prober;
  private final ZoneBridge bridge;
  private final GossipListener listener;
  private final Random random;
  private List<GossipSeed> seeds = List.of();
  private long lastTickNanos;
  private long nextSyncNanos;
  private long nextReconnectNanos;
  private String syncPosition = "";
  private boolean hungry = true;
  private long suspicions;
  private long deaths;

  /**
   * A node that knows only itself.
   *
   * @param self the node; its incarnation must be above that of any earlier process of its id
   */
  public GossipState(
      GossipParameters settings,
      Member self,
      MessageSizer sizer,
      GossipListener listener,
      long seed,
      long nowNanos) {
    this.settings = settings;
    this.listener = listener;
    this.random = new Random(seed);
    this.table = new MemberTable(self, settings, random);
    this.writer = new MessageWriter(settings, table, sizer, nowNanos);
    this.zones = new ZoneDigests(table);
    this.disseminator = new Disseminator(settings, table, writer, zones, listener);
    this.prober = new Prober(settings, table, writer, random, nowNanos);
    this.bridge = new ZoneBridge(settings, table, writer, zones, random, nowNanos);
    this.lastTickNanos = nowNanos;
    this.nextSyncNanos = nowNanos;
    this.nextReconnectNanos = nowNanos;
    disseminator.spreadNew(self);
  }

  /** Replaces the nodes that the machine list names. */
  public void seeds(List<GossipSeed> newSeeds) {
    seeds = newSeeds.stream().filter(seed -> !seed.node().equals(table.self().node())).toList();
  }

  /** The node has a configuration version in force. */
  public void configurationVersion(long version) {
    disseminator.raiseVersion(table.self().node(), version);
  }

  /** The node has a machine list. */
  public void machineListVersion(long version) {
    if (version > writer.machineListVersion()) {
      writer.machineListVersion(version);
      disseminator.markUrgent();
    }
  }

  /** Spreads the digest of a pool this node leads. */
  public void publish(PoolDigest digest, long nowNanos) {
    disseminator.publish(digest, nowNanos);
  }

  /** Tells the others that this node will stop. */
  public List<OutgoingMessage> announceLeaving(long nowNanos) {
    return announce(Member.State.LEAVING, nowNanos);
  }

  /** Tells the others that this node has stopped. */
  public List<OutgoingMessage> announceStopped(long nowNanos) {
    return announce(Member.State.DEAD, nowNanos);
  }

  /** Takes a message whose number is new and whose sender is authentic. */
  public List<OutgoingMessage> onMessage(
      GossipMessage message, NetworkAddress source, long nowNanos) {
    writer.at(nowNanos);
    if (!message.to().equals(table.self().node())) {
      return List.of();
    }
    boolean page = message.body() instanceof GossipBody.SyncPage;
    for (GossipPayload payload : message.payloads()) {
      disseminator.receive(payload, page, nowNanos);
    }
    noteSender(message, nowNanos);
    answer(message, source, nowNanos);
    return writer.drain();
  }

  /** Does what is due. Called several times a probe timeout. */
  public List<OutgoingMessage> onTick(long nowNanos) {
    writer.at(nowNanos);
    forgiveOwnPause(nowNanos);
    disseminator.setBridge(bridge.isBridge());
    prober.tick(nowNanos).ifPresent(failed -> probeFailed(failed, nowNanos));
    declareOverdueSuspects(nowNanos);
    table.forget(nowNanos);
    bridge.tick(nowNanos, seeds);
    syncWhenDue(nowNanos);
    reconnectWhenDue(nowNanos);
    pushWhenUrgent();
    return writer.drain();
  }

  /** The members known and not dead, with those of a silent zone shown as suspect. */
  public MembershipView view(long nowNanos) {
    Map<NodeId, Member> members = new HashMap<>();
    Map<ZoneName, Boolean> silent = new HashMap<>();
    for (Member member : table.all()) {
      if (member.state() == Member.State.DEAD) {
        continue;
      }
      boolean zoneSilent = silent.computeIfAbsent(member.zone(), zone -> isSilent(zone, nowNanos));
      members.put(
          member.node(),
          zoneSilent && member.state() == Member.State.ALIVE
              ? MemberTable.withState(member, Member.State.SUSPECT)
              : member);
    }
    return new MembershipView(table.self().node(), members);
  }

  /** Rises with each change of what the view shows, silence of zones excepted. */
  public long modifications() {
    return table.modifications();
  }

  /** The newest digest of each pool. */
  public Map<PoolId, PoolDigest> poolDigests() {
    return Map.copyOf(disseminator.poolDigests());
  }

  /** Whether this node links its zone to the others. */
  public boolean isBridge() {
    return bridge.isBridge();
  }

  /** What happened since the start. */
  public GossipCounters counters() {
    return new GossipCounters(
        writer.messagesSent(),
        writer.bytesSent(),
        writer.messagesOverBudget(),
        suspicions,
        deaths,
        disseminator.refutations());
  }

  private boolean isSilent(ZoneName zone, long nowNanos) {
    return !zone.equals(table.self().zone())
        && zones.isSilent(zone, nowNanos, settings.zoneSilence().toNanos());
  }

  private List<OutgoingMessage> announce(Member.State state, long nowNanos) {
    writer.at(nowNanos);
    Member self = table.self();
    table.changeSelf(MemberTable.withIncarnation(self, self.incarnation() + 1, state));
    disseminator.spread(table.self());
    pushWhenUrgent();
    return writer.drain();
  }

  private void noteSender(GossipMessage message, long nowNanos) {
    Optional<Member> sender = table.get(message.from());
    if (sender.isEmpty()) {
      return;
    }
    Member member = sender.get();
    table.answered(member.node());
    if (!member.zone().equals(table.self().zone())) {
      zones.heard(member.zone(), nowNanos);
    }
    disseminator.raiseVersion(member.node(), message.configurationVersion());
    if (message.configurationVersion() > table.self().configurationVersion()) {
      listener.onNewerConfiguration(member, message.configurationVersion());
    }
    if (message.machineListVersion() > writer.machineListVersion()) {
      listener.onNewerMachineList(member, message.machineListVersion());
    }
  }

  private void answer(GossipMessage message, NetworkAddress source, long nowNanos) {
    NodeId sender = message.from();
    ZoneName zone = table.get(sender).map(Member::zone).orElse(table.self().zone());
    if (message.body() instanceof GossipBody.Ping ping) {
      answerPing(sender, source, zone, new GossipBody.Ack(ping.probe()));
    } else if (message.body() instanceof GossipBody.Ack ack) {
      prober.onAck(ack.probe());
    } else if (message.body() instanceof GossipBody.PingRequest request) {
      prober.onPingRequest(sender, source, request, nowNanos);
    } else if (message.body() instanceof GossipBody.SyncRequest request) {
      sendPage(sender, source, request.after());
    } else if (message.body() instanceof GossipBody.SyncPage page) {
      onPage(zone, page.last());
    }
  }

  private void answerPing(NodeId to, NetworkAddress address, ZoneName zone, GossipBody ack) {
    if (disseminator.takeMisjudged()) {
      writer.introduce(to, address, ack);
    } else {
      writer.send(to, address, zone, ack);
    }
  }

  private void onPage(ZoneName zone, String last) {
    if (!zone.equals(table.self().zone())) {
      bridge.onPage(zone, last);
      return;
    }
    syncPosition = last;
    if (last.isEmpty()) {
      hungry = false;
    }
  }

  private void sendPage(NodeId to, NetworkAddress address, String after) {
    List<GossipPayload> payloads = new ArrayList<>();
    for (Member member : table.all()) {
      payloads.add(GossipPayload.MemberUpdate.of(member));
    }
    for (PoolDigest digest : disseminator.poolDigests().values()) {
      payloads.add(PoolDigestTable.payload(digest));
    }
    payloads.removeIf(payload -> payload.key().compareTo(after) <= 0);
    payloads.sort((left, right) -> left.key().compareTo(right.key()));
    writer.sendPage(to, address, payloads, "");
  }

  /** A node that was not running must not blame others for answers it did not read. */
  private void forgiveOwnPause(long nowNanos) {
    long gap = nowNanos - lastTickNanos;
    lastTickNanos = nowNanos;
    if (gap > STALLED_PERIODS * settings.probeTimeout().toNanos()) {
      prober.abandon();
      table.extendSuspicions(gap);
    }
  }

  private void probeFailed(NodeId node, long nowNanos) {
    Optional<Member> suspect = table.probeFailed(node, nowNanos);
    if (suspect.isPresent()) {
      suspicions++;
      disseminator.spread(suspect.get());
    }
  }

  private void declareOverdueSuspects(long nowNanos) {
    for (Member suspect : table.suspectsToAskOnceMore(nowNanos)) {
      GossipBody body = new GossipBody.Ping(NO_PROBE);
      writer.send(suspect.node(), suspect.gossipAddress(), suspect.zone(), body);
    }
    for (Member overdue : table.overdueSuspects(nowNanos)) {
      table
          .declareDead(overdue.node(), nowNanos)
          .ifPresent(
              dead -> {
                deaths++;
                disseminator.spread(dead);
              });
    }
  }

  private void syncWhenDue(long nowNanos) {
    if (nowNanos - nextSyncNanos < 0) {
      return;
    }
    nextSyncNanos = nowNanos + syncDelayNanos(nowNanos);
    List<Member> peers = table.others(table.self().zone());
    if (peers.isEmpty()) {
      hungry = true;
      contactSeedOfZone(false);
      return;
    }
    Member peer = peers.get(random.nextInt(peers.size()));
    writer.introduce(peer.node(), peer.gossipAddress(), new GossipBody.SyncRequest(syncPosition));
  }

  private long syncDelayNanos(long nowNanos) {
    long probePeriod = settings.probePeriod().toNanos();
    if (hungry) {
      return probePeriod / HUNGRY_FACTOR;
    }
    if (zones.anyDisagrees(nowNanos, DISAGREEMENT_PERIODS * probePeriod)) {
      return probePeriod + random.nextLong(2 * probePeriod);
    }
    long period = settings.syncPeriod().toNanos();
    return period / 2 + random.nextLong(period);
  }

  /** Tries a listed node that is unknown or believed dead, so that a parted zone finds together. */
  private void reconnectWhenDue(long nowNanos) {
    if (nowNanos - nextReconnectNanos < 0) {
      return;
    }
    nextReconnectNanos = nowNanos + RECONNECT_PERIODS * settings.probePeriod().toNanos();
    contactSeedOfZone(true);
    dropUnlistedRemoteMembers(nowNanos);
  }

  private void contactSeedOfZone(boolean onlyStrangers) {
    List<GossipSeed> candidates = new ArrayList<>();
    for (GossipSeed seed : seeds) {
      boolean stranger =
          table.get(seed.node()).filter(m -> m.state() != Member.State.DEAD).isEmpty();
      if (seed.zone().equals(table.self().zone()) && (stranger || !onlyStrangers)) {
        candidates.add(seed);
      }
    }
    if (!candidates.isEmpty()) {
      GossipSeed seed = candidates.get(random.nextInt(candidates.size()));
      writer.introduce(seed.node(), seed.gossipAddress(), new GossipBody.SyncRequest(syncPosition));
    }
  }

  /**
   * Members of another zone are judged by that zone. When it is silent or disagrees for long, those
   * that the machine list does not name any more are given up.
   */
  private void dropUnlistedRemoteMembers(long nowNanos) {
    if (seeds.isEmpty()) {
      return;
    }
    Set<NodeId> listed = new HashSet<>();
    seeds.forEach(seed -> listed.add(seed.node()));
    long silence = settings.zoneSilence().toNanos();
    for (ZoneName zone : table.zones()) {
      boolean doubtful = isSilent(zone, nowNanos) || zones.disagrees(zone, nowNanos, 2 * silence);
      if (zone.equals(table.self().zone()) || !doubtful) {
        continue;
      }
      for (Member member : table.others(zone)) {
        if (!listed.contains(member.node())) {
          table.declareDead(member.node(), nowNanos);
        }
      }
    }
  }

  private void pushWhenUrgent() {
    if (!disseminator.takeUrgent()) {
      return;
    }
    List<Member> peers = new ArrayList<>(table.others(table.self().zone()));
    Collections.shuffle(peers, random);
    int count = Math.min(settings.pushFanout(), peers.size());
    for (Member peer : peers.subList(0, count)) {
      writer.send(peer.node(), peer.gossipAddress(), peer.zone(), new GossipBody.Push(0));
    }
  }
}
