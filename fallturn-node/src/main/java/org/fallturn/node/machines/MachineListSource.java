package org.fallturn.node.machines;

import java.time.Duration;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Where the machine list comes from.
 *
 * @param platform the platform's address
 * @param interval how often a reader reads it; each wait is drawn from half to one and a half of it
 * @param timeout how long one read may take
 */
public record MachineListSource(NetworkAddress platform, Duration interval, Duration timeout) {}
