package org.fallturn.node.settings;

/** Lowest level that is written to the log. */
public enum LogLevel {
  /** Every step. */
  DEBUG,
  /** What an operator wants to read. */
  INFO,
  /** What an operator should look into. */
  WARN,
  /** What failed. */
  ERROR
}
