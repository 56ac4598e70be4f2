/** HTTP by Jetty: listening ports, routes, JSON messages and error answers. */
package org.fallturn.node.http;
