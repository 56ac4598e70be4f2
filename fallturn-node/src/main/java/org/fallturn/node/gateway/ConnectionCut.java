package org.fallturn.node.gateway;

import java.net.SocketAddress;

/**
 * Connection of a caller that this process closed although the caller could still expect an answer
 * or use it for another request.
 *
 * @param caller address of the caller
 * @param cause who closed the connection, and why
 * @param phase what the connection was used for at that moment
 * @param requestId id of the last request that was dispatched from it; empty when there was none
 * @param failure failure with which it was closed; empty when there was none
 */
record ConnectionCut(
    SocketAddress caller, Cause cause, Phase phase, String requestId, String failure) {

  /** Who closed a connection, and why. */
  enum Cause {
    /** No byte passed for the idle timeout. */
    IDLE,
    /** The gateway could not complete an answer. */
    ANSWER_ABORTED,
    /** The HTTP server closed it by itself; the failure says why. */
    SERVER
  }

  /** What a connection was used for. */
  enum Phase {
    /** Every request had its answer, and none of them announced the end of the connection. */
    BETWEEN_REQUESTS,
    /** A request had been read in part. */
    READING_HEAD,
    /** A request had been read and its answer was not complete. */
    SERVING
  }
}
