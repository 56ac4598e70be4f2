package org.fallturn.core.stages;

import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Planned change of an engine to another stage.
 *
 * @param engine the engine
 * @param stage the stage that it is to take
 */
public record StageChange(ServingEngine engine, EngineStage stage) {}
