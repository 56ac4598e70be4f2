package org.fallturn.node.gateway;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.node.http.ProgressGuard;

/**
 * The three arguments that Jetty passes to a handler for one request.
 *
 * @param request the caller's request
 * @param response the answer to it
 * @param callback to complete once, when the answer has been written
 */
record HandlerArguments(Request request, Response response, Callback callback) {

  /** The guard of the caller's connection, which is told of each part of the body. */
  ProgressGuard progress() {
    return ProgressGuard.of(request.getConnectionMetaData().getConnection().getEndPoint());
  }
}
