package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.dispatch.PromptShape;
import org.fallturn.core.dispatch.ResumedStream;

/**
 * The parts of a caller's request line and headers that the gateway uses.
 *
 * @param requestId id that the caller gave this attempt
 * @param host value of the Host header
 * @param path path without query
 * @param credentials value of the header that identifies the sender; empty when it is missing.
 *     Never logged
 * @param key tenant key that the request carries, or credentials of another kind found in its
 *     place; empty when there are none
 * @param deadline how long the caller waits for the answer; empty when it does not say
 * @param prompt shape of the prompt; empty for an application request
 * @param resumed the stream that the request continues; empty when it begins anew
 */
public record CallerRequestHead(
    String requestId,
    String host,
    String path,
    String credentials,
    Optional<String> key,
    Optional<Duration> deadline,
    Optional<PromptShape> prompt,
    Optional<ResumedStream> resumed) {

  /** Leaves out credentials and key, since this text may be logged. */
  @Override
  public String toString() {
    return requestId + " for " + host + path;
  }
}
