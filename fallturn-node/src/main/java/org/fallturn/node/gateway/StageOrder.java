package org.fallturn.node.gateway;

import org.fallturn.core.routing.EngineStage;

/**
 * An order to take another stage.
 *
 * @param stage the stage to take
 * @param holder node that gives the order
 * @param fencingToken the engine refuses a number lower than it has seen
 * @param expectedSequence the engine refuses the order when it has taken others since
 */
public record StageOrder(
    EngineStage stage, String holder, long fencingToken, long expectedSequence) {}
