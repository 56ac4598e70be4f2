package org.fallturn.core.dispatch;

import org.fallturn.core.routing.ServingEngine;

/**
 * A prefilled KV cache that waits at the engine that read the prompt.
 *
 * @param engine where it waits
 * @param handle the engine's name of it; it can be fetched once
 */
public record CacheSource(ServingEngine engine, String handle) {}
