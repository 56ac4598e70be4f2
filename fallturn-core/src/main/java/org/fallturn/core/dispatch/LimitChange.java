package org.fallturn.core.dispatch;

import java.util.OptionalDouble;

/**
 * The rate limit that an engine announces has begun, changed or ended.
 *
 * @param engineId id of the engine's incarnation
 * @param perSecond requests per second that the engine takes from all nodes together; empty if
 *     there is no limit any more
 * @param source how this node learned it
 */
public record LimitChange(String engineId, OptionalDouble perSecond, NoticeSource source) {}
