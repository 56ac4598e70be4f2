package org.fallturn.core.routing;

/**
 * The priority level of a request among the requests of its service. All nodes that have the same
 * configuration compute the same level.
 *
 * @param place the level; 0 is the most urgent
 * @param places the number of levels
 */
public record Rank(int place, int places) {

  /** Returns the level of a route's requests when no tenant has a priority. */
  public static Rank of(Route route) {
    return new Rank(route.priority(), 1);
  }
}
