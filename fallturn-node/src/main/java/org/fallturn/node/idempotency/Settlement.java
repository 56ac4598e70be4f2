package org.fallturn.node.idempotency;

import org.fallturn.core.idempotency.ClaimRow;
import org.fallturn.core.port.table.RowKey;

/**
 * How a claim ended, to be written in place of the claim.
 *
 * @param key the claim's row
 * @param expectedVersion version of the row that made the claim
 * @param row the row in its last state
 */
record Settlement(RowKey key, long expectedVersion, ClaimRow row) {}
