package org.fallturn.core.stages;

import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * A wish that an engine takes another stage.
 *
 * @param engine the engine
 * @param stage the stage it shall take
 */
public record StageChange(ServingEngine engine, EngineStage stage) {}
