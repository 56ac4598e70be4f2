/** Accepted configuration: records, image, delta and the accepted sequence. */
package org.fallturn.core.configuration;
