package org.fallturn.core.dispatch;

import org.fallturn.core.routing.ServingEngine;

/**
 * The KV cache of a prompt that one engine has read (prefilled) and that another engine can fetch.
 *
 * @param engine the engine that holds the cache
 * @param handle the engine's name for the cache, which can be fetched once
 */
public record CacheSource(ServingEngine engine, String handle) {}
