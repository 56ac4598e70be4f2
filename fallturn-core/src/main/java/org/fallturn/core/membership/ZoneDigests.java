package org.fallturn.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;

/**
 * Writes the digest of this node's zone and reads those of other zones: which configuration version
 * their members have in force, and when the zone was last heard of. Not thread-safe.
 */
final class ZoneDigests {

  private static final int MAX_LAGGARDS = 8;
  private static final int HASH_FACTOR = 0x9E3779B1;

  private final MemberTable table;
  private final Map<String, Long> sequences = new HashMap<>();
  private final Map<ZoneName, Long> heardNanos = new HashMap<>();
  private final Map<ZoneName, Long> mismatchSinceNanos = new HashMap<>();
  private long ownSequence;

  ZoneDigests(MemberTable table) {
    this.table = table;
  }

  /** The digest of this node's zone as the node sees it. */
  GossipPayload.ZoneDigest write() {
    ZoneName zone = table.self().zone();
    List<Member> members = table.others(zone);
    long version = table.self().configurationVersion();
    List<NodeId> laggards = behind(members, version);
    if (laggards.size() > MAX_LAGGARDS) {
      version = lowestVersion(members);
      laggards = List.of();
    }
    int hash = hash(members) + hash(List.of(table.self()));
    return new GossipPayload.ZoneDigest(
        zone, table.self().node(), ++ownSequence, hash, version, laggards);
  }

  /** Takes another zone's digest; false when it is not newer than one seen. */
  boolean merge(GossipPayload.ZoneDigest digest, long nowNanos) {
    Long known = sequences.get(digest.key());
    if (known != null && known >= digest.sequence()) {
      return false;
    }
    sequences.put(digest.key(), digest.sequence());
    heardNanos.put(digest.zone(), nowNanos);
    applyVersion(digest, nowNanos);
    return true;
  }

  /** Notes that a zone's member was heard of directly. */
  void heard(ZoneName zone, long nowNanos) {
    heardNanos.put(zone, nowNanos);
  }

  /** Whether a zone known before has not been heard of for a while. */
  boolean isSilent(ZoneName zone, long nowNanos, long silenceNanos) {
    Long heard = heardNanos.putIfAbsent(zone, nowNanos);
    return heard != null && nowNanos - heard > silenceNanos;
  }

  /** Whether the zone's own digest has disagreed with this node's table for a while. */
  boolean disagrees(ZoneName zone, long nowNanos, long forNanos) {
    Long since = mismatchSinceNanos.get(zone);
    return since != null && nowNanos - since > forNanos;
  }

  /** Whether any zone's digest has disagreed with this node's table for a while. */
  boolean anyDisagrees(long nowNanos, long forNanos) {
    return mismatchSinceNanos.keySet().stream()
        .anyMatch(zone -> disagrees(zone, nowNanos, forNanos));
  }

  private void applyVersion(GossipPayload.ZoneDigest digest, long nowNanos) {
    List<Member> members = table.others(digest.zone());
    if (hash(members) != digest.membersHash()) {
      mismatchSinceNanos.putIfAbsent(digest.zone(), nowNanos);
      return;
    }
    mismatchSinceNanos.remove(digest.zone());
    Set<NodeId> laggards = new HashSet<>(digest.laggards());
    for (Member member : members) {
      if (!laggards.contains(member.node())) {
        table.raiseVersion(member.node(), digest.version());
      }
    }
  }

  private static List<NodeId> behind(List<Member> members, long version) {
    return members.stream()
        .filter(member -> member.configurationVersion() < version)
        .map(Member::node)
        .sorted()
        .toList();
  }

  private long lowestVersion(List<Member> members) {
    return members.stream()
        .mapToLong(Member::configurationVersion)
        .min()
        .orElse(table.self().configurationVersion());
  }

  private static int hash(List<Member> members) {
    int sum = 0;
    for (Member member : members) {
      sum += member.node().value().hashCode() * HASH_FACTOR;
    }
    return sum;
  }
}
