/** How fast each engine works now against what is usual for its service. */
package org.fallturn.core.pace;
