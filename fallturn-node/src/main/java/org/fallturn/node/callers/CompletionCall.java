package org.fallturn.node.callers;

/**
 * A completion as either path asks for it.
 *
 * @param style which path it came by, for the form of the answer
 * @param model the service called
 * @param prompt the text
 * @param maxTokens most tokens of the answer, or null for the default
 * @param stream whether the answer comes as server-sent events
 */
record CompletionCall(
    CompletionStyle style, String model, String prompt, Integer maxTokens, boolean stream) {}
