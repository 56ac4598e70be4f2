/** Tenant limits over the fleet: admits requests, leases shares of limits between nodes. */
package org.fallturn.node.admission;
