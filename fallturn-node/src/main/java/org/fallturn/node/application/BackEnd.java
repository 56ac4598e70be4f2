package org.fallturn.node.application;

import org.fallturn.core.domain.BackEndId;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.ZoneName;

/**
 * An application back end that takes new work.
 *
 * @param id its name in the machine list
 * @param zone where it is
 * @param address its HTTP port
 */
public record BackEnd(BackEndId id, ZoneName zone, NetworkAddress address) {}
