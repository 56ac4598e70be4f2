package org.fallturn.core.routing;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the weights of the route's other services; with
 *     0 the service gets none
 */
public record WeightedService(String service, int weight) {}
