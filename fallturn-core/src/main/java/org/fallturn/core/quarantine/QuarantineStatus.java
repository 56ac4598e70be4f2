package org.fallturn.core.quarantine;

/** What is thought of a content, from least to most that speaks against it. */
public enum QuarantineStatus {
  /** Nothing, or no more than chance explains. */
  CLEAR(true),
  /** Several engines have crashed under it; it is sent where the next crash ends least. */
  SUSPECTED(true),
  /** So many engines have crashed under it that it is not sent any more. */
  QUARANTINED(false);

  private final boolean sendable;

  QuarantineStatus(boolean sendable) {
    this.sendable = sendable;
  }

  /** Whether it may be sent to an engine. */
  public boolean sendable() {
    return sendable;
  }
}
