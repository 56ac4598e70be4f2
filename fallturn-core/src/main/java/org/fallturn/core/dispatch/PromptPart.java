package org.fallturn.core.dispatch;

/**
 * A part of a prompt that an engine may keep in its KV cache.
 *
 * @param id identifies the text of the part
 * @param tokens length of the part in tokens
 */
public record PromptPart(String id, int tokens) {}
