package org.fallturn.core.routing;

/** The stage of a request that an engine currently runs. */
public enum EngineStage {
  /** Reads prompts and hands their KV cache over to a decode engine. */
  PREFILL,
  /** Generates tokens; can read prompts too, but slowly. */
  DECODE,
  /** No stage: the engine is an application back end. */
  NONE
}
