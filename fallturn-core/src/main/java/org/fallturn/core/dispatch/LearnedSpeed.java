package org.fallturn.core.dispatch;

/**
 * How fast the prefill engines of a service read, as one node learned it, for nodes that have not.
 *
 * @param tokenMillis time that a token takes, in ms
 */
public record LearnedSpeed(double tokenMillis) {}
