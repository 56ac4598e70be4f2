package org.fallturn.core.membership;

import org.fallturn.core.domain.NetworkAddress;

/**
 * A message to send.
 *
 * @param address UDP port of the receiver
 * @param message the message
 */
public record OutgoingMessage(NetworkAddress address, GossipMessage message) {}
