/** The closed list of error kinds and their answers. */
package org.fallturn.core.error;
