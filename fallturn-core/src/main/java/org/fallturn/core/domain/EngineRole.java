package org.fallturn.core.domain;

/** What an engine does for its pool. */
public enum EngineRole {
  /** Computes the KV cache of prompts and exports it. */
  PREFILL,
  /** Imports KV cache and generates tokens; can recompute a prompt itself when KV is lost. */
  DECODE
}
