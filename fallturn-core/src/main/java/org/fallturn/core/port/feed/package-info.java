/**
 * Port: a table of the platform's store that can be read whole and followed through its history.
 */
package org.fallturn.core.port.feed;
