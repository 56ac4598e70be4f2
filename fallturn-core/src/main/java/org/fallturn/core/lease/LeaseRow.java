package org.fallturn.core.lease;

import java.util.Optional;
import org.fallturn.core.domain.PoolId;

/**
 * A pool's lease row as it was read.
 *
 * @param pool the pool
 * @param version rises by one with each write; 0 when there is no row yet
 * @param lease the content; empty when there is no row yet
 */
public record LeaseRow(PoolId pool, long version, Optional<LeaseRecord> lease) {}
