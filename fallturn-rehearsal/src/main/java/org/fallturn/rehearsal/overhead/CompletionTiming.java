package org.fallturn.rehearsal.overhead;

/**
 * When an answer came.
 *
 * @param firstNanos monotonic time of the first token
 * @param lastNanos monotonic time of the end
 * @param tokens tokens of the answer
 */
record CompletionTiming(long firstNanos, long lastNanos, int tokens) {}
