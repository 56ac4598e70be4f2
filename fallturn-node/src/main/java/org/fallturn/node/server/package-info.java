/** The composition root of a node: which duties there are and how they are joined. */
package org.fallturn.node.server;
