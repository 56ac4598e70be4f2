package org.fallturn.node.gateway;

import java.util.List;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.domain.NetworkAddress;

/**
 * A datagram between gateways.
 *
 * @param load the sender's load
 * @param peers whom the sender has heard lately
 * @param nodes how many nodes the sender has heard within a minute, with itself
 */
record PeerMessage(LoadDigest load, List<NetworkAddress> peers, int nodes) {}
