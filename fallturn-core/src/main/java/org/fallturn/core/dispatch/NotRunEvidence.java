package org.fallturn.core.dispatch;

/** On what ground it is known that a send of a request did not make an engine run it. */
public enum NotRunEvidence {
  /** The request was not sent at all. */
  NO_SEND,
  /** No byte of it left this node. */
  NOT_SENT,
  /** This node held it back, since the engine wants no more requests. */
  HELD_BACK,
  /** The node that was to forward it was not reached, or says that it did not send it. */
  NOT_FORWARDED,
  /** The engine says so. */
  ENGINE_REFUSED,
  /** Another process than the engine that was meant has answered, or one in another stage. */
  MISDIRECTED,
  /** It was sent for its prompt to be read, which is no run. */
  PREFILL
}
