package org.fallturn.core.placement;

import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.NetworkAddress;

/**
 * An engine chosen for a request.
 *
 * @param engine its name
 * @param address its HTTP port
 */
public record EngineTarget(EngineId engine, NetworkAddress address) {}
