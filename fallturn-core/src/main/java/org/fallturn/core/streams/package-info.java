/**
 * Which version of the engines' software began a stream, so that it is continued at no other one.
 */
package org.fallturn.core.streams;
