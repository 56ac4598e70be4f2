/** The time of day that may be relied on, beside the steady clock. Pure. */
package org.fallturn.core.clock;
