/** Leadership of pools: leases, epochs and fences. */
package org.fallturn.core.lease;
