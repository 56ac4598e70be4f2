package org.fallturn.core.dispatch;

/**
 * A request that no longer waits for an engine.
 *
 * @param progress its state
 * @param decision the next step for it
 */
public record EndedWait(RequestProgress progress, Decision decision) {}
