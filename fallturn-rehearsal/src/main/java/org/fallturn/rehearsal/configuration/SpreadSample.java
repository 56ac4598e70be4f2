package org.fallturn.rehearsal.configuration;

/**
 * How changes spread in one case.
 *
 * @param name the case
 * @param changes changes made
 * @param observations changes times living nodes
 * @param p50Millis median time from acceptance until in force on a node
 * @param p99Millis 99th percentile
 * @param maxMillis slowest node of the slowest change
 * @param bytesPerNodeAndChange bytes sent plus received by a node for one change, on average
 */
record SpreadSample(
    String name,
    int changes,
    long observations,
    double p50Millis,
    double p99Millis,
    double maxMillis,
    double bytesPerNodeAndChange) {}
