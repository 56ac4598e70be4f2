package org.fallturn.node.gossip;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;

/**
 * Who this node is towards the others.
 *
 * @param node its id
 * @param region its region
 * @param zone its zone
 * @param gossipAddress where the others send datagrams; port 0 stands for the port bound
 * @param peerAddress TCP port for peer messages, as the others reach it
 */
public record GossipIdentity(
    NodeId node,
    RegionName region,
    ZoneName zone,
    NetworkAddress gossipAddress,
    NetworkAddress peerAddress) {}
