package org.fallturn.core.dispatch;

/**
 * Why this node itself answers a request with an error. The set of causes is fixed; metrics and
 * logs count refusals by cause.
 */
public enum RefusalCause {
  /** The first token is expected to come too late. */
  FORESEEN,
  /** No engine is expected to have room for the request before its deadline. */
  NO_ROOM,
  /** Waiting requests use all the memory that this node allows for them. */
  MEMORY_FULL,
  /** While the request was at this node, its deadline passed or became impossible to meet. */
  TIME_OVER,
  /** The service has no engine to which the request can be sent. */
  NO_ENGINE,
  /** Every engine that the request was sent to rejected it, and none can have run it. */
  TURNED_AWAY,
  /** Every engine has asked for no requests for a while or has reached its limit. */
  CLOSED,
  /** The software version that began the stream is not known here. */
  ORIGIN_UNKNOWN,
  /** The software version that began the stream has no engine left. */
  VERSION_GONE,
  /** The retry budget does not allow another send. */
  RETRY_BUDGET,
  /** This node is stopping. */
  STOPPING,
  /** An engine may have run the request. */
  OUTCOME_UNKNOWN,
  /** The content of the request is quarantined because engines crash while they run it. */
  QUARANTINED
}
