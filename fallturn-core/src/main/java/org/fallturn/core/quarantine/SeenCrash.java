package org.fallturn.core.quarantine;

/**
 * An engine that seemed to crash under a content, told to other nodes.
 *
 * @param engineId the engine
 * @param ageMillis how long ago
 * @param engineGone whether the engine was found to be gone since
 */
public record SeenCrash(String engineId, long ageMillis, boolean engineGone) {}
