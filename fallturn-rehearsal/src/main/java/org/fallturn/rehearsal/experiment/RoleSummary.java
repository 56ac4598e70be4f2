package org.fallturn.rehearsal.experiment;

/**
 * One contender on one shift of one workload, over all seeds.
 *
 * @param workload the workload
 * @param shift the shift of its mix
 * @param contender who played
 * @param seeds how many seeds
 * @param goodput share of the requests answered completely within their deadline
 * @param urgentInTime the same for requests of urgency high and emergency
 * @param roleChanges role changes in a run
 * @param goodputOfOracle mean goodput over the oracle's
 * @param roleChangesOfOracle mean role changes over the oracle's
 */
record RoleSummary(
    String workload,
    String shift,
    String contender,
    int seeds,
    Spread goodput,
    Spread urgentInTime,
    Spread roleChanges,
    double goodputOfOracle,
    double roleChangesOfOracle) {}
