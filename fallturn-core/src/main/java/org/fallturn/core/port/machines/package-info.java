/** The platform's lagging list of machines as a port. */
package org.fallturn.core.port.machines;
