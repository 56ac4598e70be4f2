package org.fallturn.core.quarantine;

/**
 * An engine that seemed to crash under a content or a part of a prompt, as reported to other nodes.
 *
 * @param engineId id of the engine
 * @param ageMillis time in ms since the crash
 * @param engineGone whether the engine has since been found to be gone
 * @param alone whether it was the engine with the fewest other requests
 */
public record SeenCrash(String engineId, long ageMillis, boolean engineGone, boolean alone) {

  /** Creates a crash of an engine that may have had many other requests. */
  public SeenCrash(String engineId, long ageMillis, boolean engineGone) {
    this(engineId, ageMillis, engineGone, false);
  }
}
