package org.fallturn.core.quarantine;

/**
 * The status of a request content or of a part of a prompt, ordered by how much evidence speaks
 * against it.
 */
public enum QuarantineStatus {
  /** There is no evidence against it, or no more than chance explains. */
  CLEAR(true),
  /** Several engines have crashed under it. It is sent where another crash does the least harm. */
  SUSPECTED(true),
  /** It is suspected, and a copy of it shows now whether it crashes an engine. */
  ON_TRIAL(false),
  /** So many engines have crashed under it that it is no longer sent. */
  QUARANTINED(false);

  private final boolean sendable;

  QuarantineStatus(boolean sendable) {
    this.sendable = sendable;
  }

  /** Returns whether the content may be sent to an engine. */
  public boolean sendable() {
    return sendable;
  }
}
