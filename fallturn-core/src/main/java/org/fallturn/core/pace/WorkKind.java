package org.fallturn.core.pace;

/** Kinds of work for which the pace of an engine is estimated separately. */
public enum WorkKind {
  /** Reading a prompt (prefill). */
  READING,
  /** Generating the tokens of streams (decode). */
  DECODING,
  /** Answering an application request, which has no prompt. */
  APPLICATION
}
