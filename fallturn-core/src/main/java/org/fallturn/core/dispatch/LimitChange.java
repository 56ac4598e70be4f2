package org.fallturn.core.dispatch;

import java.util.OptionalDouble;

/**
 * The limit of an engine is named, changed or ended.
 *
 * @param engineId the start of an engine
 * @param perSecond requests a second that it takes from all nodes together; empty when it takes any
 * @param source how it was learned
 */
public record LimitChange(String engineId, OptionalDouble perSecond, NoticeSource source) {}
