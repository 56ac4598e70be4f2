package org.fallturn.core.membership;

import java.util.Map;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.PoolDigest;

/**
 * Takes payloads in and decides what is passed on: news of members at once and about log n times,
 * figures that are repeated anyway a few times. A bridge also queues news of its own zone for the
 * other zones; news from other zones stay in this zone. Not thread-safe.
 */
final class Disseminator {

  private static final int EXTRA_TRANSMISSIONS = 2;
  private static final int PERIODIC_TRANSMISSIONS = 3;
  private static final int REMOTE_TRANSMISSIONS = 2;

  private final GossipParameters settings;
  private final MemberTable table;
  private final MessageWriter writer;
  private final PoolDigestTable pools = new PoolDigestTable();
  private final ZoneDigests zones;
  private final GossipListener listener;
  private boolean bridge;
  private boolean urgent;
  private boolean misjudged;
  private long refutations;

  Disseminator(
      GossipParameters settings,
      MemberTable table,
      MessageWriter writer,
      ZoneDigests zones,
      GossipListener listener) {
    this.settings = settings;
    this.table = table;
    this.writer = writer;
    this.zones = zones;
    this.listener = listener;
  }

  void setBridge(boolean bridge) {
    this.bridge = bridge;
  }

  long refutations() {
    return refutations;
  }

  Map<PoolId, PoolDigest> poolDigests() {
    return pools.all();
  }

  /** Others should hear from this node at once. */
  void markUrgent() {
    urgent = true;
  }

  /** Whether something came up that others should hear at once; asking clears it. */
  boolean takeUrgent() {
    boolean was = urgent;
    urgent = false;
    return was;
  }

  /** Whether the last message showed that its sender thinks too badly of this node. */
  boolean takeMisjudged() {
    boolean was = misjudged;
    misjudged = false;
    return was;
  }

  /**
   * Takes in what a message carried.
   *
   * @param page whether it is part of a table page, which every node fetches for itself
   */
  void receive(GossipPayload payload, boolean page, long nowNanos) {
    if (payload instanceof GossipPayload.MemberUpdate update) {
      receiveMember(update.member(), page, nowNanos);
    } else if (payload instanceof GossipPayload.VersionReport report) {
      raiseVersion(report.node(), report.version());
    } else if (payload instanceof GossipPayload.ZoneDigest digest) {
      receiveZone(digest, nowNanos);
    } else if (payload instanceof GossipPayload.PoolDigestUpdate update) {
      receivePool(PoolDigestTable.digest(update), nowNanos);
    }
  }

  /** Spreads a change of what is believed of a known member, this node included. */
  void spread(Member member) {
    spread(member, BroadcastQueue.Priority.URGENT);
    urgent = true;
  }

  /** Spreads a member that was not known before. */
  void spreadNew(Member member) {
    spread(member, BroadcastQueue.Priority.NORMAL);
  }

  private void spread(Member member, BroadcastQueue.Priority priority) {
    GossipPayload update = GossipPayload.MemberUpdate.of(member);
    writer.zoneQueue().put(update, priority, urgentTransmissions());
    if (isOfThisZone(member)) {
      queueForOthers(update, priority);
    }
  }

  /** Notes the version a member has in force, and passes it on within the zone. */
  void raiseVersion(org.fallturn.core.domain.NodeId node, long version) {
    if (!table.raiseVersion(node, version)) {
      return;
    }
    boolean ofThisZone = table.get(node).filter(this::isOfThisZone).isPresent();
    if (ofThisZone) {
      writer
          .zoneQueue()
          .put(
              new GossipPayload.VersionReport(node, version),
              BroadcastQueue.Priority.PERIODIC,
              PERIODIC_TRANSMISSIONS);
    }
    if (node.equals(table.self().node())) {
      urgent = true;
    }
  }

  /** Takes a digest of a pool that this node leads. */
  void publish(PoolDigest digest, long nowNanos) {
    receivePool(digest, nowNanos);
  }

  /** Queues a payload for members of this zone as figures that will be repeated. */
  void spreadPeriodic(GossipPayload payload) {
    writer.zoneQueue().put(payload, BroadcastQueue.Priority.PERIODIC, PERIODIC_TRANSMISSIONS);
  }

  private void receiveMember(Member news, boolean page, long nowNanos) {
    if (news.node().equals(table.self().node())) {
      receiveNewsOfSelf(news);
      return;
    }
    boolean stranger = table.get(news.node()).isEmpty();
    if (!table.merge(news, nowNanos)) {
      return;
    }
    Member merged = table.get(news.node()).orElse(news);
    if (!stranger) {
      spread(merged);
    } else if (!page) {
      spreadNew(merged);
    } else if (bridge && !isOfThisZone(merged)) {
      spreadPeriodic(GossipPayload.MemberUpdate.of(merged));
    }
  }

  private void receiveNewsOfSelf(Member news) {
    if (table.contradictsSelf(news)) {
      refute(news.incarnation());
    }
    misjudged |= news.state() == Member.State.SUSPECT || news.state() == Member.State.DEAD;
  }

  private void refute(long incarnation) {
    Member self = table.self();
    table.changeSelf(MemberTable.withIncarnation(self, incarnation + 1, self.state()));
    refutations++;
    spread(table.self());
  }

  private void receiveZone(GossipPayload.ZoneDigest digest, long nowNanos) {
    if (digest.zone().equals(table.self().zone()) || !zones.merge(digest, nowNanos)) {
      return;
    }
    spreadPeriodic(digest);
  }

  private void receivePool(PoolDigest digest, long nowNanos) {
    PoolDigestTable.Change change = pools.merge(digest);
    if (change == PoolDigestTable.Change.NONE) {
      return;
    }
    listener.onPoolDigest(digest);
    PoolId pool = digest.pool();
    boolean leaderChanged = change == PoolDigestTable.Change.LEADER;
    GossipPayload payload = PoolDigestTable.payload(digest);
    if (leaderChanged) {
      urgent = true;
      writer.zoneQueue().put(payload, BroadcastQueue.Priority.URGENT, urgentTransmissions());
    } else if (pools.maySpreadInZone(pool, nowNanos, settings.digestPeriod().toNanos())) {
      spreadPeriodic(payload);
    }
    boolean ofThisZone = pool.zone().equals(table.self().zone());
    long remotePeriod = settings.remoteDigestPeriod().toNanos();
    if (ofThisZone
        && bridge
        && (leaderChanged || pools.maySpreadToOthers(pool, nowNanos, remotePeriod))) {
      queueForOthers(
          payload,
          leaderChanged ? BroadcastQueue.Priority.URGENT : BroadcastQueue.Priority.PERIODIC);
    }
  }

  private void queueForOthers(GossipPayload payload, BroadcastQueue.Priority priority) {
    if (!bridge) {
      return;
    }
    for (ZoneName zone : table.zones()) {
      if (!zone.equals(table.self().zone())) {
        writer.queue(zone).put(payload, priority, REMOTE_TRANSMISSIONS);
      }
    }
  }

  private boolean isOfThisZone(Member member) {
    return member.zone().equals(table.self().zone());
  }

  private int urgentTransmissions() {
    int members = table.others(table.self().zone()).size() + 2;
    return Integer.SIZE - Integer.numberOfLeadingZeros(members) + EXTRA_TRANSMISSIONS;
  }
}
