package org.fallturn.core.placement;

import java.util.List;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;

/**
 * Decides where the requests of one pool run: events in, decisions out. Used by one thread; times
 * are of one monotonic clock and never fall.
 */
public interface PlacementPolicy {
  /** The engines that belong to the pool now; engines no longer listed are forgotten. */
  void onListing(List<EngineListing> listing, long nowNanos);

  /** An engine told its state. */
  void onEngineState(EngineState state, long nowNanos);

  /** An engine did not answer. */
  void onEngineUnreachable(EngineId engine, long nowNanos);

  /** A lagging load report came. */
  void onLoadReport(LoadReport report, long nowNanos);

  /** Late cache events came. */
  void onCacheEvents(EngineId engine, CacheEvents events, long nowNanos);

  /** A request asks for a place. */
  void submit(PlacementRequest request, long nowNanos);

  /** A node told what became of a placed request. */
  void onProgress(PlacementProgress progress, long nowNanos);

  /** Time has passed: places what can be placed now and refuses what has no chance any more. */
  void advance(long nowNanos);

  /** The decisions made since the last call, in order. */
  List<PlacementDecision> takeDecisions();
}
