package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.dispatch.CacheSource;
import org.fallturn.core.routing.Caller;
import org.fallturn.core.routing.ServingEngine;

/**
 * What an attempt asks of an engine, to be written as headers.
 *
 * @param engine the engine that is addressed; any other engine at its address refuses the call
 * @param prefillOnly whether the engine only prefills the prompt and holds the KV cache for another
 *     engine
 * @param source engine and handle that the KV cache is fetched from; empty for none
 * @param fetchFrom engine whose cached parts of the prompt are copied first; empty for none
 * @param caller on whose behalf the request runs
 * @param timeLeft how much longer the caller waits
 * @param priority urgency among the requests of the engine; 0 is served first
 * @param lastEventId event after which a stream continues; empty to stream from the beginning
 */
public record EngineCall(
    ServingEngine engine,
    boolean prefillOnly,
    Optional<CacheSource> source,
    Optional<ServingEngine> fetchFrom,
    Caller caller,
    Duration timeLeft,
    int priority,
    Optional<String> lastEventId) {}
