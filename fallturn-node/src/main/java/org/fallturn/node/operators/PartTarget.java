package org.fallturn.node.operators;

import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * A part of the fleet that has to be asked.
 *
 * @param name what it is called when it is missing
 * @param contacts nodes that can answer, tried in order; empty when none is known
 * @param local whether this node answers itself
 */
record PartTarget(String name, List<NetworkAddress> contacts, boolean local) {}
