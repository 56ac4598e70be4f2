package org.fallturn.core.dispatch;

/**
 * This node has suspended or resumed an engine, or changed the way by which it reaches it.
 *
 * @param engineId id of the engine
 * @param suspended whether the engine is suspended now
 * @param throughPeers whether it is used through other nodes, since the link of this one is lost
 * @param silent whether silence, and not failures in a row, led to the suspension
 * @param failureShare recent share of the attempts at the engine that failed, 0 to 1
 * @param running number of requests that this node has at the engine
 */
public record HealthChange(
    String engineId,
    boolean suspended,
    boolean throughPeers,
    boolean silent,
    double failureShare,
    int running) {}
