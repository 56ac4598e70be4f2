package org.fallturn.node.gateway;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.dispatch.AttemptOutcome;

/** What a node that forwarded a request says became of it. */
enum ForwardingResult {
  /** The answer is that of the engine. */
  ANSWERED(Optional.empty()),
  /** No byte of the request reached the engine. */
  NOT_SENT(Optional.of(AttemptOutcome.NOT_SENT)),
  /** The engine may have got the request, and no answer came. */
  LOST(Optional.of(AttemptOutcome.LOST)),
  /** The answer does not say; a node that fails may be connected to the engine still. */
  UNKNOWN(Optional.of(AttemptOutcome.LOST));

  private final Optional<AttemptOutcome> failure;

  ForwardingResult(Optional<AttemptOutcome> failure) {
    this.failure = failure;
  }

  /** How the attempt failed; empty if the engine answered. */
  Optional<AttemptOutcome> failure() {
    return failure;
  }

  /** Whether the node that forwarded the request has left the engine. */
  boolean tellsEnd() {
    return this != UNKNOWN;
  }

  /**
   * Reads the result from the headers of an answer. One without a result proves nothing, whatever
   * its status: it may be an engine's, whose node failed while it relayed the head.
   */
  static ForwardingResult of(HttpFields headers) {
    String name = headers.get(ForwardingHeaders.RESULT);
    for (ForwardingResult result : values()) {
      if (result.name().equals(name)) {
        return result;
      }
    }
    return UNKNOWN;
  }
}
