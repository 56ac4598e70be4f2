package org.fallturn.core.quarantine;

/**
 * An engine that seemed to crash under a content, as reported to other nodes.
 *
 * @param engineId id of the engine
 * @param ageMillis time in ms since the crash
 * @param engineGone whether the engine has since been found to be gone
 */
public record SeenCrash(String engineId, long ageMillis, boolean engineGone) {}
