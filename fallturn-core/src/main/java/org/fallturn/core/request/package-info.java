/**
 * State machines of one request, without I/O: they take events and return actions or decisions.
 * That of a model request covers placement, prefill, decode, resumption after a failure, deadline,
 * cancellation and outcome; that of a forwarded request covers retries at other back ends.
 */
package org.fallturn.core.request;
