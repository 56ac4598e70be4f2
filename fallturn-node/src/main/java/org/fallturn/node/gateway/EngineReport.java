package org.fallturn.node.gateway;

import org.fallturn.core.routing.EngineStage;

/**
 * What a model engine says of itself, some hundred ms old.
 *
 * @param stage its present stage
 * @param busy whether it is carrying out an order
 * @param sequence orders it has taken since its start
 */
public record EngineReport(EngineStage stage, boolean busy, long sequence) {}
