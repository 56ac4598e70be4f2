/** Starts a whole fleet as real processes behind the fault-injecting proxy, and breaks it. */
package org.fallturn.rehearsal.fleet;
