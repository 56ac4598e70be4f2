package org.fallturn.rehearsal.configuration;

/**
 * How fast changes are accepted.
 *
 * @param operators operators at work at once, each at another node
 * @param acceptedPerSecond changes accepted a second
 * @param conflictsPerSecond changes refused as conflicts a second
 */
record CommitSample(int operators, double acceptedPerSecond, double conflictsPerSecond) {}
