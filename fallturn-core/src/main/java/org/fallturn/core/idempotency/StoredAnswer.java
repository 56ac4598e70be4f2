package org.fallturn.core.idempotency;

/**
 * The answer that the first request with a key got, as a retry gets it again.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body's bytes; never modified
 */
public record StoredAnswer(int status, String contentType, byte[] body) {}
