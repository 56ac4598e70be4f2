package org.fallturn.node.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node that reports itself ready before its conditions are met or while it stops,
 * and against meters that are missing in the Prometheus output.
 */
class HealthRoutesTest {

  private final NodeHealth health = new NodeHealth();
  private final PrometheusMeterRegistry registry = NodeMeters.registry();
  private HttpListener listener;

  @BeforeEach
  void start() throws Exception {
    HttpRouter router = new HttpRouter(new JsonCodec());
    new HealthRoutes(health, registry).addTo(router);
    listener = new HttpListener("health", new NetworkAddress("127.0.0.1", 0), 8, router);
  }

  @AfterEach
  void stop() throws Exception {
    listener.close();
  }

  @Test
  void readyOnlyWhileEveryConditionIsMetAndNoStopHasBegun() throws Exception {
    health.require("configuration");
    assertThat(get("/readyz").statusCode()).isEqualTo(503);
    assertThat(get("/readyz").body()).contains("configuration");

    health.set("configuration", true);
    assertThat(get("/readyz").statusCode()).isEqualTo(200);

    health.stop();
    assertThat(get("/readyz").body()).contains("stopping");
    assertThat(get("/healthz").statusCode()).isEqualTo(200);
  }

  @Test
  void metersAppearInThePrometheusText() throws Exception {
    registry.counter("fallturn.example").increment();

    assertThat(get("/metrics").body()).contains("fallturn_example_total 1.0").contains("jvm_");
  }

  private HttpResponse<String> get(String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + listener.address() + path)).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }
}
