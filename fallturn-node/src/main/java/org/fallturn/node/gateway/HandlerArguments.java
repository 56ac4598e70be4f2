package org.fallturn.node.gateway;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * What the server hands to a handler for one request.
 *
 * @param request the caller's request
 * @param response its answer
 * @param callback completed once when the answer was written
 */
record HandlerArguments(Request request, Response response, Callback callback) {}
