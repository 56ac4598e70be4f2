/** Estimates how fast each engine works compared with what is usual for its service. */
package org.fallturn.core.pace;
