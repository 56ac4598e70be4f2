/** The platform's object store as a port. */
package org.fallturn.core.port.objectstore;
