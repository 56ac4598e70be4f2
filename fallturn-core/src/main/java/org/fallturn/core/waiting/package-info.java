/** Where and how long requests wait when more come than there is room for. */
package org.fallturn.core.waiting;
