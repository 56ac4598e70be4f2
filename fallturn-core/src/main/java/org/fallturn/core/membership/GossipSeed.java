package org.fallturn.core.membership;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;

/**
 * A node that the machine list names. It becomes a member only when it answers.
 *
 * @param node its id
 * @param zone its zone
 * @param gossipAddress its UDP port
 */
public record GossipSeed(NodeId node, ZoneName zone, NetworkAddress gossipAddress) {}
