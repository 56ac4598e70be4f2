package org.fallturn.node.gateway;

import java.util.function.IntSupplier;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * Connections to one address, up to a bound that changes. Connections beyond a bound that has
 * fallen stay until they are idle for long enough. Thread-safe.
 */
final class BoundedConnectionPool extends DuplexConnectionPool {

  private final Destination destination;
  private final IntSupplier bound;

  /**
   * Creates a pool without connections.
   *
   * @param greatest the greatest value of the bound
   */
  BoundedConnectionPool(Destination destination, int greatest, IntSupplier bound) {
    super(destination, greatest);
    this.destination = destination;
    this.bound = bound;
  }

  @Override
  public int getMaxConnectionCount() {
    return Math.min(super.getMaxConnectionCount(), bound.getAsInt());
  }

  @Override
  protected void tryCreate(boolean create) {
    if (getConnectionCount() < getMaxConnectionCount()) {
      super.tryCreate(create);
    }
  }

  @Override
  public boolean release(Connection connection) {
    boolean kept = super.release(connection);
    if (destination instanceof EngineDestination engine) {
      engine.onReleased(connection);
    }
    return kept;
  }
}
