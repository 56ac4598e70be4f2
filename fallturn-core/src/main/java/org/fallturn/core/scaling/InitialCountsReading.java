package org.fallturn.core.scaling;

import java.util.Map;
import java.util.Optional;

/**
 * Result of reading how many engines a service had before any order.
 *
 * @param counts number of engines by zone; empty when none are stored
 * @param era era of the store that answered
 */
public record InitialCountsReading(Optional<Map<String, Integer>> counts, long era) {}
