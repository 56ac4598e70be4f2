package org.fallturn.core.routing;

import java.util.OptionalInt;

/**
 * A customer of the operator, on whose behalf callers send requests.
 *
 * @param name name of the tenant in requests to engines and in usage reports
 * @param priority priority of its requests, which takes precedence over the priority of the route;
 *     0 is the most urgent; empty when the tenant has none
 */
public record Tenant(String name, OptionalInt priority) {}
