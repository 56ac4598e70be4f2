package org.fallturn.core.stages;

import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * State of one model engine at one moment, as the planner of its service sees it.
 *
 * @param engine its entry in the directory
 * @param available whether requests may be sent to it; false while it leaves, is suspended or
 *     changes its stage
 * @param changingTo the stage that it is changing to; {@link EngineStage#NONE} when it is not
 *     changing
 * @param running number of requests of all nodes at the engine
 * @param waitMillis time in ms that its unread prompt tokens will take
 */
public record StageView(
    ServingEngine engine,
    boolean available,
    EngineStage changingTo,
    int running,
    double waitMillis) {

  /** Returns the stage that the engine has now, or will have when its change is done. */
  EngineStage stageAfterChange() {
    return changingTo == EngineStage.NONE ? engine.stage() : changingTo;
  }

  boolean serves(EngineStage stage) {
    return available && engine.stage() == stage;
  }
}
