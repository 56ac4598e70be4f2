package org.fallturn.core.routing;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route; 0 takes none
 */
public record WeightedService(String service, int weight) {}
