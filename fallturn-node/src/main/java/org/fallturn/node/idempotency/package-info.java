/** The duty that writes claims on idempotency keys to the table service, many at a time. */
package org.fallturn.node.idempotency;
