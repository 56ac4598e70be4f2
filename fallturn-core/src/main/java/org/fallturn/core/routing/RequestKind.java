package org.fallturn.core.routing;

/** What may be done again with the requests of a route. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** Answers with a series of events; runs at most once unless its route is resumable. */
  STREAMING
}
