package org.fallturn.core.stages;

import org.fallturn.core.routing.EngineStage;

/**
 * Inputs and result of the stage planner of one service at one moment, for the log. Immutable.
 *
 * @param prefill number of engines in the prefill stage, including those changing to it
 * @param prefillServing number of these that accept requests now
 * @param decode number of engines in the decode stage, including those changing to it
 * @param decodeServing number of these that accept requests now
 * @param changing number of engines that are changing their stage
 * @param prefillWaitMillis smoothed time in ms that prompts wait at a prefill engine
 * @param decodeWaitMillis smoothed time in ms that prompts wait at a decode engine
 * @param occupancy smoothed share of the decode slots in use, 0 to 1
 * @param peakOccupancy recent peak of this share, which decays over time
 * @param wanted stage that an engine should take; {@link EngineStage#NONE} for no change
 */
public record StageOutlook(
    int prefill,
    int prefillServing,
    int decode,
    int decodeServing,
    int changing,
    double prefillWaitMillis,
    double decodeWaitMillis,
    double occupancy,
    double peakOccupancy,
    EngineStage wanted) {}
