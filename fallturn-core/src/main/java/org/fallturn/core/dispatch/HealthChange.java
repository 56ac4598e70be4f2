package org.fallturn.core.dispatch;

/**
 * This node began or ceased to avoid an engine.
 *
 * @param engineId the engine
 * @param suspended whether it is avoided now
 * @param silent whether silence, and not failures in a row, led to it
 * @param failureShare recent share of its attempts that failed, 0 to 1
 * @param running requests that this node has there
 */
public record HealthChange(
    String engineId, boolean suspended, boolean silent, double failureShare, int running) {}
