package org.fallturn.core.port.engine;

/**
 * One fenced order, {@code POST /v1/orders}. An engine refuses an order whose number is not above
 * its fence, and one that names an incarnation other than its own: a restarted engine has forgotten
 * its fence, so that an old leader's late order could otherwise take effect.
 *
 * @param number its place in the stream of orders
 * @param incarnation the engine's incarnation that the order is meant for, or {@link
 *     #ANY_INCARNATION}, which only a raised fence may carry
 * @param command what to do
 */
public record EngineOrder(OrderNumber number, long incarnation, EngineCommand command) {

  /** The order is meant for the engine whatever its incarnation. */
  public static final long ANY_INCARNATION = 0;
}
