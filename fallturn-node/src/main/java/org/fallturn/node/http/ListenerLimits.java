package org.fallturn.node.http;

/**
 * Bounds of a listening port.
 *
 * @param maxThreads threads that serve it
 * @param maxConnections connections open at once; more wait in the accept queue
 * @param maxHeaderBytes size of a request's line and headers
 */
public record ListenerLimits(int maxThreads, int maxConnections, int maxHeaderBytes) {}
