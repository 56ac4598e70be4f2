package org.fallturn.core.stages;

import java.time.Duration;

/**
 * Constants of stage changes; see the settings of section {@code stages} for their bounds.
 *
 * @param enabled whether engines are ever ordered to change
 * @param leastShare share of a service's engines that each stage keeps, 0 to 0.5
 * @param leaseTerm how long the right to give orders lasts once it was taken
 * @param leaseQuiet how long after that right has ended another node may take it
 */
public record StageParameters(
    boolean enabled, double leastShare, Duration leaseTerm, Duration leaseQuiet) {}
