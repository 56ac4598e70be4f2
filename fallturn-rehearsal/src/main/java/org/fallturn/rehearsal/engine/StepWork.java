package org.fallturn.rehearsal.engine;

/**
 * The work of one batching step.
 *
 * @param prefillTokens prompt tokens computed
 * @param decodeSequences sequences that generate one token each
 * @param contextTokens context that those sequences attend to, in all
 */
public record StepWork(int prefillTokens, int decodeSequences, long contextTokens) {}
