/** What engines do with a request whose connection ends before its answer does. */
package org.fallturn.core.disconnect;
