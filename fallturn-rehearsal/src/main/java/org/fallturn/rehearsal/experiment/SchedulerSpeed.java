package org.fallturn.rehearsal.experiment;

/**
 * What one drive of a scheduler measured.
 *
 * @param engines engines of the pool
 * @param load requests offered, as a part of what the decode slots can serve
 * @param decisionsPerSecond placements and refusals for each second of processor time
 * @param placedPercent share of the decisions that were placements
 * @param mostQueued longest queue
 */
public record SchedulerSpeed(
    int engines, double load, double decisionsPerSecond, double placedPercent, int mostQueued) {}
