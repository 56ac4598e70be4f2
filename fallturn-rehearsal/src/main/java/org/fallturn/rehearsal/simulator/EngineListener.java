package org.fallturn.rehearsal.simulator;

/** Told what an engine has done. */
interface EngineListener {
  /** A prompt's KV cache is ready for export. */
  void onPrefilled(SimulatedEngine engine, SimulatedRequest request);

  /** An answer is complete. */
  void onCompleted(SimulatedEngine engine, SimulatedRequest request);

  /** A prefix came into the cache or left it. */
  void onCacheChange(SimulatedEngine engine, SharedPrefix prefix, boolean stored);
}
