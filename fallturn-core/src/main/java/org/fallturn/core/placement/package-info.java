/** Where a request runs: the pool scheduler and its messages. */
package org.fallturn.core.placement;
