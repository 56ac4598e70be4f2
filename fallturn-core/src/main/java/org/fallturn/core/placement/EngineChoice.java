package org.fallturn.core.placement;

import java.util.Optional;

/**
 * Engines chosen together for a request.
 *
 * @param prefill the prefill engine; empty when the decode engine computes the prompt itself
 * @param decode the decode engine
 * @param uncachedTokens prompt tokens expected to be computed
 * @param work what the prediction rests on
 * @param finishSeconds predicted time until the answer is complete
 */
record EngineChoice(
    Optional<EngineSlot> prefill,
    EngineSlot decode,
    int uncachedTokens,
    PredictedWork work,
    double finishSeconds) {}
