package org.fallturn.node.callers;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.RequestId;

/**
 * One HTTP request at the callers' door.
 *
 * @param request Jetty's request
 * @param response Jetty's response
 * @param callback completed when the exchange is over
 * @param connection tells when the caller is gone
 * @param requestId the id given to it
 * @param startNanos monotonic time when it came
 */
record CallerRequest(
    Request request,
    Response response,
    Callback callback,
    CallerConnection connection,
    RequestId requestId,
    long startNanos) {}
