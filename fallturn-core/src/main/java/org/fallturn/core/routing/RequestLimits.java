package org.fallturn.core.routing;

import java.time.Duration;

/**
 * Limits on the size of a request and on the time that a caller may take to send it.
 *
 * @param maxHeaderBytes the largest request line and headers together, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param headerTimeout the longest time from the first byte of a request to the end of its headers
 * @param idleTimeout how long a connection may stay open without traffic
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

  /** Returns the limits that apply while the configuration sets none. */
  public static RequestLimits defaults() {
    return new RequestLimits(
        DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
