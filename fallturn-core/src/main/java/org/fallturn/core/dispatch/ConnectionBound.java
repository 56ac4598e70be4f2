package org.fallturn.core.dispatch;

/**
 * How many connections a node may open to one engine, of those that the engine takes from all nodes
 * together. Stateless.
 *
 * <p>Each node may use an equal part, whatever the others do. A node that has a large share of the
 * requests may use that share of half of the connections: it may get what otherwise all nodes get,
 * and requests beyond its bound wait in it while the engine is idle. The other half is left to what
 * the others keep open or begin to need.
 */
public final class ConnectionBound {

  /** The number of nodes that is assumed for the equal parts. */
  private static final int ASSUMED_NODES = 8;

  private static final int MIN_CONNECTIONS = 2;

  /** The part of an engine's connections that is divided by load. */
  private static final double DIVIDED_BY_LOAD = 0.5;

  private ConnectionBound() {}

  /**
   * Returns the bound of a node.
   *
   * @param accepted connections that the engine accepts from all nodes together
   * @param loadShare the node's share of the requests that run at the service, 0 to 1
   */
  public static int of(int accepted, double loadShare) {
    int equalPart = Math.max(MIN_CONNECTIONS, accepted / ASSUMED_NODES);
    return Math.max(equalPart, (int) (DIVIDED_BY_LOAD * loadShare * accepted));
  }

  /** Returns the bound of a node that has all requests. */
  public static int greatest(int accepted) {
    return of(accepted, 1);
  }
}
