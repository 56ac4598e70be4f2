package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;

/**
 * Engines that this node has ordered, or is about to order, to take another stage. They get no
 * requests until the directory shows the new stage, or until the change must be over. One thread
 * calls.
 */
final class ChangingEngines {

  private final Map<String, Change> changes = new HashMap<>();

  private record Change(EngineStage stage, long untilNanos) {}

  /** The engine is about to change. */
  void begin(String engineId, EngineStage stage, long untilNanos) {
    changes.put(engineId, new Change(stage, untilNanos));
  }

  /** The engine does not change after all. */
  void end(String engineId) {
    changes.remove(engineId);
  }

  /** Ends what the directory shows as done, what is gone and what took too long. */
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

  /** The stage that an engine changes to; {@link EngineStage#NONE} when it does not change. */
  EngineStage stageOf(String engineId) {
    Change change = changes.get(engineId);
    return change == null ? EngineStage.NONE : change.stage();
  }
}
