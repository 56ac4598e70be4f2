/** Sub-commands of the {@code fallturn} program. */
package org.fallturn.node.command;
