package org.fallturn.core.peers;

/**
 * A node and the time since it was last heard. Immutable.
 *
 * @param info the node
 * @param ageMillis time in ms since any node last heard it; grows as the entry is passed on, so
 *     that a node that is gone expires everywhere
 */
public record KnownPeer(PeerInfo info, long ageMillis) {}
