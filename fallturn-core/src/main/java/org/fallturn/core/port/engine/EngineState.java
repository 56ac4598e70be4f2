package org.fallturn.core.port.engine;

import java.util.Map;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;

/**
 * What an engine says of itself, {@code GET /v1/state}. Exact at the moment of the answer.
 *
 * @param engine its name
 * @param incarnation differs after each restart; a restarted engine has lost its streams and cache
 * @param fence the highest order number it acknowledged
 * @param role present role, or the role being taken while {@code activity} is CHANGING_ROLE
 * @param model the model loaded, or being loaded
 * @param modelVersion its version
 * @param adapters versions of the loaded adapters by name
 * @param activity what the engine is busy with
 * @param leaving whether it wants no new work because it will stop
 * @param running requests it is working on now
 */
public record EngineState(
    EngineId engine,
    long incarnation,
    OrderNumber fence,
    EngineRole role,
    ModelName model,
    String modelVersion,
    Map<String, String> adapters,
    Activity activity,
    boolean leaving,
    int running) {

  /** Whether an engine serves, or what it does instead. */
  public enum Activity {
    /** Takes requests of its role. */
    SERVING,
    /** Takes none until its role change is done. */
    CHANGING_ROLE,
    /** Takes none until its weights are loaded. */
    LOADING_MODEL
  }

  /** A private copy of the adapters. */
  public EngineState {
    adapters = Map.copyOf(adapters);
  }
}
