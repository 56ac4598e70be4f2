package org.fallturn.core.pace;

/**
 * An engine is found to be slower or faster than the others of its service, or no more.
 *
 * @param engineId one start of an engine
 * @param kind of work
 * @param state what it is now
 * @param slowness factor by which work takes longer there
 */
public record PaceChange(String engineId, WorkKind kind, PaceState state, double slowness) {}
