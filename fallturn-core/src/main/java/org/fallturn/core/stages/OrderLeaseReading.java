package org.fallturn.core.stages;

import java.util.Optional;

/**
 * Result of reading the lease row.
 *
 * @param row content of the row; empty when the lease was never held
 * @param version version of the row, which a write must name; 0 when it is absent
 * @param storeMillis the store's steady clock in ms at the time of its answer
 */
public record OrderLeaseReading(Optional<OrderLeaseRow> row, long version, long storeMillis) {}
