package org.fallturn.core.pace;

/**
 * Says how long work takes at an engine now, against what is usual for its service.
 *
 * <p>Whoever asks must serve as before where nothing is known: an engine of which nothing was heard
 * works as usual. One thread calls.
 */
@FunctionalInterface
public interface EnginePace {

  /** All engines of a service are alike. */
  EnginePace UNIFORM = (engineId, kind, nowNanos) -> 1;

  /**
   * Factor by which work takes longer there than usual.
   *
   * @param engineId one start of an engine
   * @return 1 as usual, 2 where it takes twice as long; above 0
   */
  double slowness(String engineId, WorkKind kind, long nowNanos);
}
