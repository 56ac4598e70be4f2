/** Domain, decision logic and ports of fallturn. No I/O, no threads and no clock. */
package org.fallturn.core;
