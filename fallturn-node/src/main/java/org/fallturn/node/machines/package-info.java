/** The platform's machine list: read by a few nodes of each zone, passed on among the nodes. */
package org.fallturn.node.machines;
