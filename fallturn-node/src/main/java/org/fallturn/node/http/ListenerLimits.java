package org.fallturn.node.http;

import java.time.Duration;

/**
 * Bounds of a listening port.
 *
 * @param maxThreads threads that serve it
 * @param maxConnections connections open at once; more wait in the accept queue
 * @param maxHeaderBytes size of a request's line and headers
 * @param idleTimeout how long a connection may stand still
 */
public record ListenerLimits(
    int maxThreads, int maxConnections, int maxHeaderBytes, Duration idleTimeout) {}
