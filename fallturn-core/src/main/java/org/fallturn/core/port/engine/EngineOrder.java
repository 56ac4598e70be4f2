package org.fallturn.core.port.engine;

/**
 * One fenced order, {@code POST /v1/orders}.
 *
 * @param number its place in the stream of orders
 * @param command what to do
 */
public record EngineOrder(OrderNumber number, EngineCommand command) {}
