/** Names and small values used everywhere. */
package org.fallturn.core.domain;
