/**
 * Threads for the duties of a node, its long-running tasks. A duty processes the events of a
 * bounded ring buffer or runs a loop that is restarted after a fault.
 */
package org.fallturn.node.duty;
