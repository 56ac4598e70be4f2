package org.fallturn.core.peers;

/**
 * A node and how long ago somebody heard it. Immutable.
 *
 * @param info the node
 * @param ageMillis time in ms since it was heard by whoever heard it last; it grows as it is told
 *     on, so that a node that is gone fades
 */
public record KnownPeer(PeerInfo info, long ageMillis) {}
