package org.fallturn.node.configuration;

import java.time.Duration;

/**
 * How a node keeps its configuration.
 *
 * @param watchInterval how often a watching node reads the head version
 * @param callTimeout how long a call to a peer may take
 * @param snapshotEvery accepted changes between two snapshots
 */
public record ConfigurationOptions(
    Duration watchInterval, Duration callTimeout, int snapshotEvery) {}
