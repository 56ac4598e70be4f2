package org.fallturn.node.gossip;

import org.fallturn.core.membership.GossipCounters;

/**
 * What passed a node's gossip port since its start. Bytes count the headers of IP and UDP.
 *
 * @param sent what the node sent and decided
 * @param messagesReceived authentic messages
 * @param bytesReceived bytes of all datagrams received
 * @param malformed datagrams that could not be read
 * @param notAuthentic datagrams with a wrong authentication code
 * @param replayed messages seen before or meant for another node
 * @param overrun messages dropped because the duty's ring was full
 */
public record GossipTraffic(
    GossipCounters sent,
    long messagesReceived,
    long bytesReceived,
    long malformed,
    long notAuthentic,
    long replayed,
    long overrun) {}
