package org.fallturn.core.routing;

import java.time.Duration;

/**
 * The capacity of a model engine, which is the same for all engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param cacheTokens size of the KV cache in tokens
 * @param tokenBytes bytes of KV cache that a token takes
 * @param linkMegabitsPerSecond bandwidth of the link between engines, in Mbit/s
 * @param handleLifetime how long a prefill engine keeps the KV cache of a prompt for a decode
 *     engine to fetch it
 * @param roleSwitch how long an engine is unavailable while it switches between prefill and decode
 */
public record EngineProfile(
    int slots,
    long cacheTokens,
    long tokenBytes,
    double linkMegabitsPerSecond,
    Duration handleLifetime,
    Duration roleSwitch) {}
