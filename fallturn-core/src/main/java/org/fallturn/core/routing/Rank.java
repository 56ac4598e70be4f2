package org.fallturn.core.routing;

/**
 * The place of a request in the order of its service; all nodes that have the same configuration
 * give it the same.
 *
 * @param place 0 goes first
 * @param places how many places there are
 */
public record Rank(int place, int places) {

  /** The place that a route gives where tenants have none. */
  public static Rank of(Route route) {
    return new Rank(route.priority(), 1);
  }
}
