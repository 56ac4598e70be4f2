/** Adapter of the platform's object store. */
package org.fallturn.node.objectstore;
