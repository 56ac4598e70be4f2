package org.fallturn.node.gateway;

import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.http.HttpListener;

/** HTTP handler that serves the metrics at a port of its own. */
final class MetricsPort extends Handler.Abstract.NonBlocking {

  private static final int THREADS = 4;
  private static final String PATH = "/metrics";
  private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

  private final GatewayMetrics metrics;

  private MetricsPort(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Binds the port and serves the metrics from then on. */
  static HttpListener open(NetworkAddress address, GatewayMetrics metrics) throws Exception {
    return new HttpListener("metrics", address, THREADS, new MetricsPort(metrics));
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    if (!Request.getPathInContext(request).equals(PATH)) {
      response.setStatus(HttpStatus.NOT_FOUND_404);
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      return true;
    }
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, TEXT);
    byte[] body = metrics.text().getBytes(StandardCharsets.UTF_8);
    response.write(true, BufferUtil.toBuffer(body), callback);
    return true;
  }
}
