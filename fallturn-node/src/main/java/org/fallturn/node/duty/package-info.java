/** A thread for each duty, fed by a bounded ring. */
package org.fallturn.node.duty;
