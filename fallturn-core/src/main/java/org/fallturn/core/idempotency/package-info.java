/**
 * At most one run of what must not be repeated: claims on idempotency keys, kept as rows of the
 * table service, and the rules that decide what a retry gets. Pure.
 */
package org.fallturn.core.idempotency;
