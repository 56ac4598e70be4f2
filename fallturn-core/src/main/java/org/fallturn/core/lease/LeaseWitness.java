package org.fallturn.core.lease;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;

/**
 * A node that the holder of a lease has named in the lease's row. While the table cannot be reached
 * a majority of the named witnesses may extend the lease; a takeover needs the consent of a
 * majority of them.
 *
 * @param node the process; one that restarts has another id and is no longer the witness
 * @param address its peer port
 */
public record LeaseWitness(NodeId node, NetworkAddress address) {}
