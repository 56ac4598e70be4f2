package org.fallturn.core.dispatch;

/**
 * What one node has at one engine.
 *
 * @param running requests
 * @param prefillTokens prompt tokens that are not read yet
 * @param suspended whether the node has suspended it
 * @param changing whether the node has ordered it, or is about to order it, to take another stage
 */
public record EngineDigest(int running, long prefillTokens, boolean suspended, boolean changing) {}
