/**
 * The platform's transactional table service as a port, with the bodies of its published protocol
 * (HTTP with JSON). Status 429 means refused by the rate limit, 503 unavailable: no effect either
 * way. No answer at all means that a write may have taken effect.
 */
package org.fallturn.core.port.table;
