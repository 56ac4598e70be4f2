/** The operators' door: the statement language, live queries over the fleet, changes, keys. */
package org.fallturn.node.operators;
