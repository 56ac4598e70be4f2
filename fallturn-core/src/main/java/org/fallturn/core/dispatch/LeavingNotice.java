package org.fallturn.core.dispatch;

/**
 * This node has learned that an engine is leaving.
 *
 * @param engineId id of the engine's incarnation
 * @param source how this node learned it
 */
public record LeavingNotice(String engineId, NoticeSource source) {}
