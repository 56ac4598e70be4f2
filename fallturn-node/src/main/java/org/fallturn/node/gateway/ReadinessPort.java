package org.fallturn.node.gateway;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.http.HttpListener;

/**
 * HTTP handler at a port of its own, where the platform asks whether it should send callers to this
 * node.
 */
final class ReadinessPort extends Handler.Abstract.NonBlocking {

  private static final int THREADS = 4;

  private final String path;
  private final GatewayState gateway;

  private ReadinessPort(String path, GatewayState gateway) {
    this.path = path;
    this.gateway = gateway;
  }

  /**
   * Binds the port and answers from then on.
   *
   * @param path path of the readiness check; any other is answered with 404
   */
  static HttpListener open(NetworkAddress address, String path, GatewayState gateway)
      throws Exception {
    return new HttpListener("readiness", address, THREADS, new ReadinessPort(path, gateway));
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    response.setStatus(status(Request.getPathInContext(request)));
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    return true;
  }

  private int status(String requestedPath) {
    if (!requestedPath.equals(path)) {
      return HttpStatus.NOT_FOUND_404;
    }
    return gateway.ready() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
  }
}
