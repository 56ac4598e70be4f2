package org.fallturn.core.port.engine;

/**
 * An engine's answer to an order. A refused order had no effect at all.
 *
 * @param accepted whether the order's number was above all earlier ones and the engine started it
 * @param reason why it was refused; empty when accepted
 * @param state the engine's state right after the answer, including its fence
 */
public record OrderAnswer(boolean accepted, String reason, EngineState state) {}
