package org.fallturn.node.configuration;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;

/**
 * The node this process is.
 *
 * @param node its id
 * @param zone its zone
 * @param peerAddress where other nodes reach it
 */
public record LocalNode(NodeId node, ZoneName zone, NetworkAddress peerAddress) {}
