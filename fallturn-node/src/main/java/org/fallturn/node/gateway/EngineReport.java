package org.fallturn.node.gateway;

import java.util.OptionalLong;
import org.fallturn.core.routing.EngineStage;

/**
 * What a model engine says of itself, some hundred ms old.
 *
 * @param stage its present stage
 * @param busy whether it is carrying out an order
 * @param sequence orders it has taken since its start
 * @param bornMillis the Unix time of its start, where it tells
 */
public record EngineReport(
    EngineStage stage, boolean busy, long sequence, OptionalLong bornMillis) {}
