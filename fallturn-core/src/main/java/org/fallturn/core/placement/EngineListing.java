package org.fallturn.core.placement;

import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.ZoneName;

/**
 * An engine of a pool as the machine list and the operators' drains give it.
 *
 * @param engine its name
 * @param zone its zone
 * @param address its HTTP port
 * @param leaving whether the platform is about to stop it
 * @param drained whether an operator wants no new work on it
 */
public record EngineListing(
    EngineId engine, ZoneName zone, NetworkAddress address, boolean leaving, boolean drained) {}
