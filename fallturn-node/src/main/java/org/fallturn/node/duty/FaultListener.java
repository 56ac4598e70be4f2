package org.fallturn.node.duty;

import org.slf4j.LoggerFactory;

/** Hears of everything that a duty did not catch, on the duty's thread. Thread-safe. */
@FunctionalInterface
public interface FaultListener {

  /** Only logs; for duties whose end does not end a process. */
  FaultListener LOG_ONLY =
      (duty, fault, answer) ->
          LoggerFactory.getLogger(FaultListener.class)
              .error("duty: {} failed and {}.", duty, answer.goesOn() ? "goes on" : "ends", fault);

  /** A duty failed. */
  void onFault(String duty, Throwable fault, FaultDecision answer);
}
