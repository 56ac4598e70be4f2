package org.fallturn.node.settings;

/** How log lines are written. */
public enum LogFormat {
  /** Lines for people. */
  TEXT,
  /** One JSON object a line. */
  JSON
}
