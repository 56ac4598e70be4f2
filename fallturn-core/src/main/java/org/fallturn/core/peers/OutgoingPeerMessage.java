package org.fallturn.core.peers;

import org.fallturn.core.domain.NetworkAddress;

/**
 * A message and its destination.
 *
 * @param target address of the node that receives it
 * @param message the message
 */
public record OutgoingPeerMessage(NetworkAddress target, PeerMessage message) {}
