package org.fallturn.rehearsal.experiment;

/**
 * What one placement policy reached at one lag, over the seeds.
 *
 * @param workload name of the workload
 * @param shift name of the shift of its mix
 * @param policy title of the placement policy
 * @param lagMillis age of reports and digests
 * @param seeds runs
 * @param goodput share of all requests answered within their deadline
 * @param urgentInTime the same of HIGH and EMERGENCY requests
 * @param late share that ran and missed its deadline, work done for nothing
 */
public record PlacementSummary(
    String workload,
    String shift,
    String policy,
    long lagMillis,
    int seeds,
    Spread goodput,
    Spread urgentInTime,
    Spread late) {}
