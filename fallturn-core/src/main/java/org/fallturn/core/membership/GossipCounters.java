package org.fallturn.core.membership;

/**
 * What a node's gossip has done since its start.
 *
 * @param messagesSent messages handed to the socket
 * @param bytesSent their bytes with IP and UDP headers
 * @param messagesOverBudget messages dropped because the cap was reached
 * @param suspicions members this node's own probes made suspect
 * @param deaths members this node declared dead
 * @param refutations times this node refuted news of itself
 */
public record GossipCounters(
    long messagesSent,
    long bytesSent,
    long messagesOverBudget,
    long suspicions,
    long deaths,
    long refutations) {}
