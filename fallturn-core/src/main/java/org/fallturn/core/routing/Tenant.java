package org.fallturn.core.routing;

import java.util.OptionalInt;

/**
 * A customer of the operator, as far as the requests of its callers are concerned.
 *
 * @param name how engines and usage reports know it
 * @param priority its rank, which goes before that of a route; 0 is the most urgent; empty where
 *     the ranks of the routes hold
 */
public record Tenant(String name, OptionalInt priority) {}
