package org.fallturn.core.lease;

/**
 * A conditional write of one lease row.
 *
 * @param expectedVersion the version that the row must have
 * @param lease the new content
 */
public record LeaseWrite(long expectedVersion, LeaseRecord lease) {}
