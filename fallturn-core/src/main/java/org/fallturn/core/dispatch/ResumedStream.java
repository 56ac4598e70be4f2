package org.fallturn.core.dispatch;

import java.util.Optional;

/**
 * A stream that a caller continues with a new request after its connection broke.
 *
 * @param firstAttemptId id of the caller's request that brought the first event; empty when the
 *     caller does not name it
 */
public record ResumedStream(Optional<String> firstAttemptId) {}
