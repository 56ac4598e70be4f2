package org.fallturn.rehearsal.membership;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.GossipParameters;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.node.gossip.GossipIdentity;
import org.fallturn.node.gossip.GossipModule;
import org.fallturn.node.gossip.GossipTransport;
import org.fallturn.node.json.JsonCodec;

/** A node of which only membership runs, over a real UDP port. */
final class HollowMember {

  private static final byte[] KEY = "rehearsal".getBytes(StandardCharsets.UTF_8);
  private static final NetworkAddress ANY_PORT = new NetworkAddress("127.0.0.1", 0);

  private final NodeId node;
  private final RegionName region;
  private final ZoneName zone;
  private final ThreadGroupCpu cpu;
  private final GossipModule gossip;

  HollowMember(
      String name, String region, String zone, JsonCodec codec, GossipTransport.Opener opener)
      throws Exception {
    this.node = new NodeId(name);
    this.region = new RegionName(region);
    this.zone = new ZoneName(zone);
    this.cpu = new ThreadGroupCpu(name);
    this.gossip = cpu.call(() -> start(codec, opener));
  }

  private GossipModule start(JsonCodec codec, GossipTransport.Opener opener) throws IOException {
    GossipIdentity identity = new GossipIdentity(node, region, zone, ANY_PORT, ANY_PORT);
    GossipModule module =
        new GossipModule(GossipParameters.defaults(), identity, ANY_PORT, KEY, codec, opener);
    module.start();
    return module;
  }

  NodeId node() {
    return node;
  }

  GossipModule gossip() {
    return gossip;
  }

  long cpuNanos() {
    return cpu.cpuNanos();
  }

  /** Its entry in the machine list. */
  Machine machine() {
    return new Machine(
        node.value(),
        Machine.Kind.NODE,
        region,
        zone,
        ANY_PORT,
        Optional.of(gossip.address()),
        Optional.empty(),
        Optional.empty(),
        Machine.State.LIVE);
  }
}
