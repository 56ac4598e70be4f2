package org.fallturn.core.stages;

import java.util.Optional;
import org.fallturn.core.port.feed.StorePosition;

/**
 * Result of reading the lease row.
 *
 * @param row content of the row; empty when there is none
 * @param position position at which the row was written, whose version a write must name; version 0
 *     when it is absent
 * @param storeMillis the store's steady clock in ms at the time of its answer
 */
public record OrderLeaseReading(
    Optional<OrderLeaseRow> row, StorePosition position, long storeMillis) {}
