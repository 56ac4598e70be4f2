package org.fallturn.core.routing;

/** Which part of a request an engine does now. */
public enum EngineStage {
  /** Reads prompts and hands their KV cache over. */
  PREFILL,
  /** Generates tokens; reads prompts too, slowly. */
  DECODE,
  /** An application back end, which has no stages. */
  NONE
}
