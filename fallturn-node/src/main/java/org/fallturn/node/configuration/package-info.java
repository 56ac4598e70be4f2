/**
 * The accepted configuration: commits to the table, distribution among nodes, the image in force.
 */
package org.fallturn.node.configuration;
