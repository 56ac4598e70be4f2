/** Placement: the duty of pool leaders, and the client that asks them. */
package org.fallturn.node.placement;
