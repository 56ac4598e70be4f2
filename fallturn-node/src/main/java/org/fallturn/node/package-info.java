/** Programs of the fallturn node module. */
package org.fallturn.node;
