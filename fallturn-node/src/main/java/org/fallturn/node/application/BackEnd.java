package org.fallturn.node.application;

import org.fallturn.core.domain.BackEndId;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.ZoneName;

/**
 * An application back end that accepts new requests.
 *
 * @param id id in the machine list
 * @param zone zone in which it runs
 * @param address host and HTTP port
 */
public record BackEnd(BackEndId id, ZoneName zone, NetworkAddress address) {}
