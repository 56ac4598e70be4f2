package org.fallturn.node.http;

/**
 * What passed some connections.
 *
 * @param bytesIn bytes received, HTTP headers included
 * @param bytesOut bytes sent, HTTP headers included
 * @param exchanges requests with their answers
 */
public record TrafficTotals(long bytesIn, long bytesOut, long exchanges) {}
