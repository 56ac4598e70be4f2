package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;

/**
 * The engines that this node has ordered, or is about to order, to change to another stage. They
 * get no requests until the directory shows the new stage or the time for the change is over.
 * Confined to one thread.
 */
final class ChangingEngines {

  private final Map<String, Change> changes = new HashMap<>();

  private record Change(EngineStage stage, long untilNanos) {}

  /**
   * Records that an engine is about to change.
   *
   * @param untilNanos time at which the change counts as over, whatever the directory shows
   */
  void begin(String engineId, EngineStage stage, long untilNanos) {
    changes.put(engineId, new Change(stage, untilNanos));
  }

  /** Records that an engine does not change after all. */
  void end(String engineId) {
    changes.remove(engineId);
  }

  /**
   * Removes the changes that the directory shows as done, those of engines that are no longer
   * listed, and those whose time is over.
   */
  void prune(EngineDirectory directory, long nowNanos) {
    changes
        .entrySet()
        .removeIf(
            entry ->
                nowNanos - entry.getValue().untilNanos() >= 0
                    || directory
                        .find(entry.getKey())
                        .filter(engine -> engine.stage() != entry.getValue().stage())
                        .isEmpty());
  }

  /**
   * Returns the stage that an engine changes to, or {@link EngineStage#NONE} if it does not change.
   */
  EngineStage stageOf(String engineId) {
    Change change = changes.get(engineId);
    return change == null ? EngineStage.NONE : change.stage();
  }
}
