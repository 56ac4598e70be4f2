package org.fallturn.core.pace;

/**
 * Change of an engine's {@link PaceState}: it has become slower or faster than the others of its
 * service, or is like them again.
 *
 * @param engineId id of one incarnation of an engine
 * @param kind kind of work
 * @param state new state
 * @param slowness factor by which work takes longer there than usual
 */
public record PaceChange(String engineId, WorkKind kind, PaceState state, double slowness) {}
