package org.fallturn.node.duty;

import org.slf4j.LoggerFactory;

/**
 * Receives every exception or error that a duty did not catch. Called on the threads of several
 * duties, so implementations must be thread-safe.
 */
@FunctionalInterface
public interface FaultListener {

  /** A listener that only logs, for duties that can end while the process keeps running. */
  FaultListener LOG_ONLY =
      (duty, fault, decision) ->
          LoggerFactory.getLogger(FaultListener.class)
              .error(
                  "duty: {} failed and {}.", duty, decision.goesOn() ? "goes on" : "ends", fault);

  /**
   * Called on the duty's thread after a fault.
   *
   * @param duty name of the duty
   * @param fault the exception or error that the duty threw
   * @param decision whether and how the duty continues
   */
  void onFault(String duty, Throwable fault, FaultDecision decision);
}
