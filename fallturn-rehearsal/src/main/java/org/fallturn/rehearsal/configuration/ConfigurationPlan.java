package org.fallturn.rehearsal.configuration;

import java.time.Duration;

/**
 * Sizes of the experiment.
 *
 * @param nodes hollow nodes
 * @param zones zones they are spread over
 * @param tenants tenants configured before the measurement
 * @param changes changes measured in each case
 * @param changeInterval time between two changes
 * @param commitTime how long commits are counted
 * @param deadShare share of nodes killed in the case with dead nodes
 * @param seed chooses the accepting and the dead nodes
 */
record ConfigurationPlan(
    int nodes,
    int zones,
    int tenants,
    int changes,
    Duration changeInterval,
    Duration commitTime,
    double deadShare,
    long seed) {}
