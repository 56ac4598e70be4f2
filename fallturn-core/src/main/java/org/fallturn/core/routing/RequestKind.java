package org.fallturn.core.routing;

/** Whether the requests of a route may run more than once. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** Answers with a stream of events; runs at most once unless its route is resumable. */
  STREAMING
}
