package org.fallturn.core.placement;

import java.util.concurrent.CompletionStage;

/**
 * Port through which a request asks for a placement. The implementation finds the pool's leader,
 * spills to other zones, and falls back when no leader answers. Thread-safe, never blocks.
 */
public interface PlacementService {

  /**
   * Asks where a request should run; the stage completes by the request's deadline at the latest.
   */
  CompletionStage<PlacementAnswer> place(PlacementRequest request);

  /** Tells the leader what became of a placed request; delivery is best effort. */
  void report(PlacementProgress progress);
}
