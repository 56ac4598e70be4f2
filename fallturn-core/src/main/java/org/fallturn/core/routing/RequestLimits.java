package org.fallturn.core.routing;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes request line and headers
 * @param maxBodyBytes request body
 * @param headerTimeout from the first byte of a request to the end of its headers
 * @param idleTimeout how long a connection may stand still
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

  /** What holds until an operator has said otherwise. */
  public static RequestLimits defaults() {
    return new RequestLimits(
        DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
