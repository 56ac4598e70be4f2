package org.fallturn.node.http;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles the requests of one route. Called on a server thread. The handler completes the callback
 * exactly once, on any thread, unless it throws: then the router answers INTERNAL.
 */
@FunctionalInterface
public interface RouteHandler {

  /** Handles one request. */
  void handle(Request request, Response response, Callback callback) throws Exception;
}
