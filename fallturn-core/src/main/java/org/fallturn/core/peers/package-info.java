/**
 * The exchange of load between nodes over relays: a few strong nodes of each zone pass on the load
 * of all nodes at the engines, so that messages and bytes per node hardly depend on the number of
 * nodes. There is no election: each node ranks the nodes that it knows, and nodes that rank them
 * differently do no harm. Performs no I/O: one thread calls and passes in the time as nanoseconds
 * of a monotonic clock.
 */
package org.fallturn.core.peers;
