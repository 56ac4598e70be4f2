package org.fallturn.rehearsal.emulator;

/** How the emulated store misbehaves. */
public enum StoreFault {
  /** It answers. */
  NONE,
  /** It answers 503 to everything. */
  DOWN,
  /** It answers 429 to everything. */
  THROTTLED,
  /** It reads requests and never answers. */
  SILENT,
  /** Whole readings lie in the past: they show the state at the moment this fault began. */
  STALE_READS
}
