/** At most one run of what must not be repeated. */
package org.fallturn.core.idempotency;
