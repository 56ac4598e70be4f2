package org.fallturn.core.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;

/**
 * What gossip messages carry along. The set is closed. A payload replaces an older one of the same
 * {@link #key()}. The records are written as JSON arrays, because bytes are capped.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = GossipPayload.MemberUpdate.class, name = "m"),
  @JsonSubTypes.Type(value = GossipPayload.VersionReport.class, name = "v"),
  @JsonSubTypes.Type(value = GossipPayload.ZoneDigest.class, name = "z"),
  @JsonSubTypes.Type(value = GossipPayload.PoolDigestUpdate.class, name = "d")
})
public sealed interface GossipPayload {

  /** Payloads of one key replace each other. */
  @JsonIgnore
  String key();

  /**
   * What is believed of a member.
   *
   * @param node its id
   * @param region its region
   * @param zone its zone
   * @param peerAddress TCP port for peer messages
   * @param gossipAddress UDP port for gossip
   * @param incarnation raised by the member alone
   * @param state what is believed
   * @param configurationVersion the version it had in force
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record MemberUpdate(
      NodeId node,
      RegionName region,
      ZoneName zone,
      NetworkAddress peerAddress,
      NetworkAddress gossipAddress,
      long incarnation,
      @JsonFormat(shape = JsonFormat.Shape.NUMBER) Member.State state,
      long configurationVersion)
      implements GossipPayload {

    /** Rejects missing parts. */
    public MemberUpdate {
      if (node == null || region == null || zone == null || state == null) {
        throw new IllegalArgumentException("a member update needs node, region, zone and state");
      }
      if (peerAddress == null || gossipAddress == null) {
        throw new IllegalArgumentException("a member update needs both addresses");
      }
    }

    /** The update that spreads a member. */
    static MemberUpdate of(Member member) {
      return new MemberUpdate(
          member.node(),
          member.region(),
          member.zone(),
          member.peerAddress(),
          member.gossipAddress(),
          member.incarnation(),
          member.state(),
          member.configurationVersion());
    }

    /** The member it describes. */
    Member member() {
      return new Member(
          node, region, zone, peerAddress, gossipAddress, incarnation, state, configurationVersion);
    }

    @Override
    @JsonIgnore
    public String key() {
      return "m:" + node;
    }
  }

  /**
   * The configuration version a member of this zone has in force. Higher versions win.
   *
   * @param node the member
   * @param version the version
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record VersionReport(NodeId node, long version) implements GossipPayload {

    /** Rejects a missing node. */
    public VersionReport {
      if (node == null) {
        throw new IllegalArgumentException("a version report needs a node");
      }
    }

    @Override
    @JsonIgnore
    public String key() {
      return "v:" + node;
    }
  }

  /**
   * Summary of a zone that one of its bridges tells the other zones. It is also the zone's sign of
   * life there.
   *
   * @param zone the zone
   * @param author the bridge that wrote it
   * @param sequence rising with each digest of the author
   * @param membersHash hash of the ids of the members not dead; a receiver that knows other members
   *     does not apply the version
   * @param version every member has at least this configuration version, save the laggards
   * @param laggards members behind that version
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ZoneDigest(
      ZoneName zone,
      NodeId author,
      long sequence,
      int membersHash,
      long version,
      List<NodeId> laggards)
      implements GossipPayload {

    /** A private copy of the laggards. */
    public ZoneDigest {
      if (zone == null || author == null) {
        throw new IllegalArgumentException("a zone digest needs a zone and an author");
      }
      laggards = List.copyOf(laggards);
    }

    @Override
    @JsonIgnore
    public String key() {
      return "z:" + zone + "/" + author;
    }
  }

  /**
   * A pool's digest in its short form, see {@link org.fallturn.core.placement.PoolDigest}.
   *
   * @param pool the pool
   * @param epoch the leadership
   * @param sequence rising within the epoch
   * @param leader the node that leads
   * @param leaderAddress its peer port
   * @param prefillEngines engines that prefill
   * @param decodeEngines engines that decode
   * @param freePrefillTokens room for prompt tokens
   * @param freeDecodeSlots room for decoding requests
   * @param queued requests waiting
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PoolDigestUpdate(
      PoolId pool,
      long epoch,
      long sequence,
      NodeId leader,
      NetworkAddress leaderAddress,
      int prefillEngines,
      int decodeEngines,
      long freePrefillTokens,
      int freeDecodeSlots,
      int queued)
      implements GossipPayload {

    /** Rejects missing parts. */
    public PoolDigestUpdate {
      if (pool == null || leader == null || leaderAddress == null || epoch < 0) {
        throw new IllegalArgumentException("a pool digest needs a pool, an epoch and a leader");
      }
    }

    @Override
    @JsonIgnore
    public String key() {
      return "p:" + pool;
    }
  }
}
