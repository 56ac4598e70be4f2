package org.fallturn.core.pace;

/** Kinds of work whose pace may differ at one engine. */
public enum WorkKind {
  /** Reading a prompt. */
  READING,
  /** Making tokens for streams. */
  DECODING,
  /** Answering a call that is no prompt. */
  APPLICATION
}
