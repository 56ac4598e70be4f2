/** The operators' client: {@code fallturn query}. */
package org.fallturn.node.query;
