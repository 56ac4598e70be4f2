package org.fallturn.core.stages;

import java.util.Optional;

/**
 * The row as it was read.
 *
 * @param row its content; empty when nobody ever held the lease
 * @param version version of the row, which a write must name; 0 when it is absent
 * @param storeMillis the store's steady clock when it answered
 */
public record OrderLeaseReading(Optional<OrderLeaseRow> row, long version, long storeMillis) {}
