/** Programs of the fallturn rehearsal module. */
package org.fallturn.rehearsal;
