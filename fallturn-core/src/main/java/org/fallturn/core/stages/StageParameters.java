package org.fallturn.core.stages;

import java.time.Duration;

/**
 * Parameters of stage changes; the settings in section {@code stages} give their bounds.
 *
 * @param enabled whether engines are ordered to change their stage
 * @param leastShare minimum share of a service's engines that each stage keeps, 0 to 0.5
 * @param leaseTerm how long a node may give orders after it has taken the lease
 * @param leaseQuiet time after the end of a lease before another node may take it
 */
public record StageParameters(
    boolean enabled, double leastShare, Duration leaseTerm, Duration leaseQuiet) {}
