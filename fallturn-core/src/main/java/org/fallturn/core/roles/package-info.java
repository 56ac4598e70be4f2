/** Which engines prefill and which decode. */
package org.fallturn.core.roles;
