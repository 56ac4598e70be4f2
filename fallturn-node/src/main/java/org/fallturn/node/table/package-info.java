/** Adapter of the platform's transactional table service. */
package org.fallturn.node.table;
