package org.fallturn.core.stages;

import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * One model engine as the planner of its service sees it at one moment.
 *
 * @param engine its entry in the directory
 * @param available whether requests may be sent there; not while it leaves, is suspended or changes
 * @param changingTo the stage it changes to; {@link EngineStage#NONE} when it does not change
 * @param running requests that all nodes have there
 * @param waitMillis time in ms that its unread prompt tokens take
 */
public record StageView(
    ServingEngine engine,
    boolean available,
    EngineStage changingTo,
    int running,
    double waitMillis) {

  /** The stage it has now, or will have once its change is done. */
  EngineStage stageAfterChange() {
    return changingTo == EngineStage.NONE ? engine.stage() : changingTo;
  }

  boolean serves(EngineStage stage) {
    return available && engine.stage() == stage;
  }
}
