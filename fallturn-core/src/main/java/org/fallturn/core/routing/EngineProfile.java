package org.fallturn.core.routing;

import java.time.Duration;

/**
 * What every model engine of a service can hold and move.
 *
 * @param slots requests that run at once
 * @param cacheTokens tokens of KV cache
 * @param tokenBytes bytes of KV cache a token takes
 * @param linkMegabitsPerSecond speed of the link between engines
 * @param handleLifetime how long a prefilled KV cache waits to be fetched
 * @param roleSwitch how long a change of role takes the engine away
 */
public record EngineProfile(
    int slots,
    long cacheTokens,
    long tokenBytes,
    double linkMegabitsPerSecond,
    Duration handleLifetime,
    Duration roleSwitch) {}
