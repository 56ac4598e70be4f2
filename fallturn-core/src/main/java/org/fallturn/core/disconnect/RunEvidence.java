package org.fallturn.core.disconnect;

/** What an engine's report shows of an orphaned run. */
public enum RunEvidence {
  /** The engine no longer has it. */
  OVER,
  /**
   * It may be among the requests that the report does not name, and has waited for them long
   * enough.
   */
  NOT_NAMED,
  /** The engine works on it although its connection has ended. */
  WORKED_ON,
  /** Nothing yet: the report may be too old, or may count it without naming it. */
  TOO_EARLY
}
