package org.fallturn.core.peers;

import org.fallturn.core.domain.NetworkAddress;

/**
 * A message and where it goes.
 *
 * @param target address of the node that should hear it
 * @param message the message
 */
public record OutgoingPeerMessage(NetworkAddress target, PeerMessage message) {}
