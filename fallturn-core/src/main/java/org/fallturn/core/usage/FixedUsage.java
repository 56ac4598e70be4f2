package org.fallturn.core.usage;

/**
 * Counts of a window that the store holds, so that every node reports the same ones.
 *
 * @param era era of the store in which the counts were fixed; 0 in a row of a build that writes
 *     none
 */
public record FixedUsage(UsageReport report, long era) {}
