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
 * @param credentials what the head says of the sender; empty when nothing. Never logged
 * @param key the key of a tenant that it bears, or what stands in its place; empty for none
 * @param deadline how long the caller waits; empty when it does not say
 * @param prompt shape of the prompt; empty for an application request
 */
public record CallerRequestHead(
    String requestId,
    String host,
    String path,
    String credentials,
    Optional<String> key,
    Optional<Duration> deadline,
    Optional<PromptShape> prompt) {

  /** Without the key, as it may be logged. */
  @Override
  public String toString() {
    return requestId + " for " + host + path;
  }
}
