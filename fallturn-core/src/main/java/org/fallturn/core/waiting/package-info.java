/** Decides where and how long requests wait when more arrive than the engines have capacity for. */
package org.fallturn.core.waiting;
