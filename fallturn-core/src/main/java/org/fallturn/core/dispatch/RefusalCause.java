package org.fallturn.core.dispatch;

/**
 * Why this node answers a request with an error of its own. The list is closed; metrics and logs
 * count refusals by it.
 */
public enum RefusalCause {
  /** The first token is expected too late. */
  FORESEEN,
  /** No engine is expected to have room for the request before its deadline. */
  NO_ROOM,
  /** Waiting requests have filled the memory that this node allows them. */
  MEMORY_FULL,
  /** The deadline passed, or came too close to be met, while the request was at this node. */
  TIME_OVER,
  /** The service has no engine that the request could be sent to. */
  NO_ENGINE,
  /** No engine that the request was sent to took it, and none can have run it. */
  TURNED_AWAY,
  /** Every engine rests, or has reached its limit. */
  CLOSED,
  /** The retry budget does not allow another send. */
  RETRY_BUDGET,
  /** This node is stopping. */
  STOPPING,
  /** An engine may have run the request. */
  OUTCOME_UNKNOWN,
  /** The content of the request is quarantined because engines crash under it. */
  QUARANTINED
}
