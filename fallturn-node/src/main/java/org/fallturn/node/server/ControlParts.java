package org.fallturn.node.server;

import io.micrometer.core.instrument.MeterRegistry;
import org.fallturn.core.placement.PlacementService;
import org.fallturn.node.configuration.ConfigurationModule;
import org.fallturn.node.gossip.GossipModule;
import org.fallturn.node.http.ConnectionTraffic;
import org.fallturn.node.lease.LeaseModule;

/**
 * The parts of a started node that a measurement looks at.
 *
 * @param gossip membership
 * @param configuration the accepted configuration
 * @param leases leadership of pools
 * @param placement where requests run
 * @param clientTraffic bytes of calls to the platform, to engines, to back ends and to peers
 * @param peerTraffic bytes of calls from peers
 * @param metrics the node's meters
 */
public record ControlParts(
    GossipModule gossip,
    ConfigurationModule configuration,
    LeaseModule leases,
    PlacementService placement,
    ConnectionTraffic clientTraffic,
    ConnectionTraffic peerTraffic,
    MeterRegistry metrics) {}
