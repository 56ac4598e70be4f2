/** Settings of a node: definitions, the reader of the settings file, and typed records a part. */
package org.fallturn.node.settings;
