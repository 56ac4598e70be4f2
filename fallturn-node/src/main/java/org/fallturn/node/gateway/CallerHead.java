package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.dispatch.PromptShape;

/**
 * What the gateway needs from the head of a caller's request.
 *
 * @param requestId the caller's id of this attempt
 * @param host host it names
 * @param path path without query
 * @param caller who sends it, as far as the head says; empty when it does not
 * @param deadline how long the caller waits; empty when it does not say
 * @param prompt shape of the prompt; empty for an application request
 */
public record CallerHead(
    String requestId,
    String host,
    String path,
    String caller,
    Optional<Duration> deadline,
    Optional<PromptShape> prompt) {}
