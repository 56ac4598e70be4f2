package org.fallturn.core.port.engine;

import org.fallturn.core.domain.RequestId;

/**
 * Stop working on a request, {@code POST /v1/cancel}. Unknown ids are fine.
 *
 * @param requestId the request
 */
public record CancelRequest(RequestId requestId) {}
