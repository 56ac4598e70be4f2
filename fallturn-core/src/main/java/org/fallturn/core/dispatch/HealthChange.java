package org.fallturn.core.dispatch;

/**
 * This node has suspended or resumed an engine.
 *
 * @param engineId id of the engine
 * @param suspended whether the engine is suspended now
 * @param silent whether silence, and not failures in a row, led to the suspension
 * @param failureShare recent share of the attempts at the engine that failed, 0 to 1
 * @param running number of requests that this node has at the engine
 */
public record HealthChange(
    String engineId, boolean suspended, boolean silent, double failureShare, int running) {}
