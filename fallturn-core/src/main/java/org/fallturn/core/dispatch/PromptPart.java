package org.fallturn.core.dispatch;

/**
 * A part of a prompt that may be kept in an engine's KV cache.
 *
 * @param id names the text of the part
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
