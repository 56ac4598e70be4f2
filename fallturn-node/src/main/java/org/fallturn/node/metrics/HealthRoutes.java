package org.fallturn.node.metrics;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.node.http.HttpRouter;

/**
 * HTTP routes for probes and monitoring: {@code /healthz} (liveness: the process runs), {@code
 * /readyz} (readiness: the node accepts callers) and {@code /metrics} (Prometheus text format).
 * Called on server threads.
 */
public final class HealthRoutes {

  private static final String GET = "GET";
  private static final String TEXT = "text/plain; charset=utf-8";
  private static final String METRICS_TEXT = "text/plain; version=0.0.4; charset=utf-8";

  private final NodeHealth health;
  private final PrometheusMeterRegistry registry;

  /**
   * Creates the routes.
   *
   * @param health readiness of the node
   * @param registry the meters that {@code /metrics} shows
   */
  public HealthRoutes(NodeHealth health, PrometheusMeterRegistry registry) {
    this.health = health;
    this.registry = registry;
  }

  /** Adds the three routes to a router. */
  public void addTo(HttpRouter router) {
    router.route(
        GET,
        "/healthz",
        (request, response, callback) -> text(response, HttpStatus.OK_200, "ok\n", callback));
    router.route(GET, "/readyz", (request, response, callback) -> readiness(response, callback));
    router.route(GET, "/metrics", (request, response, callback) -> metrics(response, callback));
  }

  private void readiness(Response response, Callback callback) {
    List<String> notReadyReasons = health.notReadyReasons();
    if (notReadyReasons.isEmpty()) {
      text(response, HttpStatus.OK_200, "ready\n", callback);
    } else {
      String reasons = "not ready: " + String.join(", ", notReadyReasons) + "\n";
      text(response, HttpStatus.SERVICE_UNAVAILABLE_503, reasons, callback);
    }
  }

  private void metrics(Response response, Callback callback) {
    write(response, HttpStatus.OK_200, METRICS_TEXT, registry.scrape(), callback);
  }

  private static void text(Response response, int status, String body, Callback callback) {
    write(response, status, TEXT, body, callback);
  }

  private static void write(
      Response response, int status, String type, String body, Callback callback) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
    response.write(true, BufferUtil.toBuffer(body, StandardCharsets.UTF_8), callback);
  }
}
