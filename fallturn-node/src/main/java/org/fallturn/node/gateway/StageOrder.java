package org.fallturn.node.gateway;

import org.fallturn.core.routing.EngineStage;

/**
 * An order to an engine to change its stage.
 *
 * @param stage the stage to change to
 * @param holder node that sends the order and holds the lease
 * @param fencingToken token of the lease; the engine refuses one lower than it has seen
 * @param expectedSequence sequence number from the engine's report; the engine refuses the order
 *     when it has taken others since
 */
public record StageOrder(
    EngineStage stage, String holder, long fencingToken, long expectedSequence) {}
