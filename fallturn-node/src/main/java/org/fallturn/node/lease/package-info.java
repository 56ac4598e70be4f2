/**
 * Leadership of pools on this node: a duty that decides about leases, duties for the table's
 * traffic, and a duty that orders engines, joined by bounded rings.
 */
package org.fallturn.node.lease;
