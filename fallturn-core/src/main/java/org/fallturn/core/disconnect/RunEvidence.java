package org.fallturn.core.disconnect;

/** What an engine's report shows of an orphaned run. */
public enum RunEvidence {
  /** The engine no longer has it. */
  OVER,
  /** The engine makes no tokens of it; it may be among those that the report does not name. */
  NOT_NAMED,
  /** The engine works on it although its connection has ended. */
  WORKED_ON,
  /** The report may be older than the end of the connection, or than the request. */
  TOO_EARLY
}
