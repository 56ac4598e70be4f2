package org.fallturn.core.dispatch;

/**
 * How fast the prefill engines of a service read, as one node learned it, for nodes that have not.
 *
 * @param overheadMillis time that a prompt takes beside its tokens
 * @param tokenMillis time that a token takes
 */
public record LearnedSpeed(double overheadMillis, double tokenMillis) {}
