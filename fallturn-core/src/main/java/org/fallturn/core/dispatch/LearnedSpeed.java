package org.fallturn.core.dispatch;

/**
 * How fast the prefill engines of a service read prompts, as one node has learned it. Nodes that
 * have not learned it yet take it over.
 *
 * @param tokenMillis time in ms that an engine takes to read a token
 */
public record LearnedSpeed(double tokenMillis) {}
