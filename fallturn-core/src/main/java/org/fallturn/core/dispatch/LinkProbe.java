package org.fallturn.core.dispatch;

import org.fallturn.core.routing.ServingEngine;

/**
 * A link to an engine that is to be probed.
 *
 * @param onNewConnection whether only an answer on a new connection counts: open connections may
 *     live on while new ones are refused
 */
public record LinkProbe(ServingEngine engine, boolean onNewConnection) {}
