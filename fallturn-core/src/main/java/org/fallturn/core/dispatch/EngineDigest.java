package org.fallturn.core.dispatch;

/**
 * What one node has at one engine.
 *
 * @param running requests
 * @param prefillTokens prompt tokens that are not read yet
 */
public record EngineDigest(int running, long prefillTokens) {}
