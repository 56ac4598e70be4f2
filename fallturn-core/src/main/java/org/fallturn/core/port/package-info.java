/** Ports towards engines and the platform. */
package org.fallturn.core.port;
