package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.dispatch.CacheSource;
import org.fallturn.core.routing.Caller;
import org.fallturn.core.routing.ServingEngine;

/**
 * One attempt as it is written to an engine.
 *
 * @param engine who is meant; any other engine at its address refuses
 * @param prefillOnly the engine reads the prompt and keeps its KV cache for another engine
 * @param source where the engine fetches the KV cache
 * @param fetchFrom engine whose cached parts of the prompt it copies first
 * @param caller on whose behalf the request runs
 * @param timeLeft how long the caller waits still
 * @param priority urgency among the engine's requests; 0 is first
 * @param lastEventId the event after which a stream goes on; empty from its beginning
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
