package org.fallturn.node.duty;

import org.slf4j.LoggerFactory;

/**
 * Receives every fault that a duty did not catch. Called on the threads of several duties, so
 * implementations must be thread-safe.
 */
@FunctionalInterface
public interface FaultListener {

  /** A listener that only logs, for duties whose end does not end the process. */
  FaultListener LOG_ONLY =
      (duty, fault, decision) ->
          LoggerFactory.getLogger(FaultListener.class)
              .error(
                  "duty: {} failed and {}.", duty, decision.goesOn() ? "goes on" : "ends", fault);

  /**
   * Called on the duty's thread after a fault.
   *
   * @param duty name of the duty
   * @param fault what the duty threw
   * @param decision how the duty continues
   */
  void onFault(String duty, Throwable fault, FaultDecision decision);
}
