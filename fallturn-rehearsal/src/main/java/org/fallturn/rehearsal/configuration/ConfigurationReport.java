package org.fallturn.rehearsal.configuration;

import java.util.List;

/**
 * What the configuration experiment measured.
 *
 * @param nodes hollow nodes
 * @param zones zones they were spread over
 * @param tenants tenants configured before the measurement
 * @param spread how changes spread, case by case
 * @param commits how fast changes were accepted
 */
record ConfigurationReport(
    int nodes, int zones, int tenants, List<SpreadSample> spread, List<CommitSample> commits) {}
