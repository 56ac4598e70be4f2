package org.fallturn.core.pace;

/**
 * Tells how long work currently takes at an engine compared with what is usual for its service.
 *
 * <p>An engine without samples has the factor 1: callers must then decide as they would without
 * pace estimates. One thread calls.
 */
@FunctionalInterface
public interface EnginePace {

  /** Treats all engines of a service as equally fast. */
  EnginePace UNIFORM = (engineId, kind, nowNanos) -> 1;

  /**
   * Returns the factor by which work takes longer at an engine than usual.
   *
   * @param engineId id of one incarnation of an engine
   * @param kind kind of work
   * @param nowNanos current time of the steady clock
   * @return 1 when the engine is as fast as usual, 2 when work takes twice as long; above 0
   */
  double slowness(String engineId, WorkKind kind, long nowNanos);
}
