package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.RequestLimits;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServiceDefinition;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.routing.WeightedService;
import org.fallturn.node.settings.GatewaySettings;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node that outlives its dispatch thread: when that thread ended on a class that
 * could not be loaded, nothing was logged, the node still reported ready and kept each request
 * until its deadline. The node must answer pending requests, saying truthfully whether they may
 * have run, accept no more, and end.
 */
class DispatchFaultTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  /** Longer than any wait of the test, so that no answer comes from a missed deadline. */
  private static final Duration DEADLINE = Duration.ofSeconds(300);

  private static final String FAULT_HEADER = "X-Fault";

  private static final String SETTINGS =
      """
      [gateway]
      node_name = "gateway-1"
      zone = "zone-1"
      callers = "127.0.0.1:0"
      readiness = "127.0.0.1:0"
      peers = "127.0.0.1:0"

      [bounds]
      stop_linger = "1s"

      [store]
      address = "127.0.0.1:1"
      """;

  private final CompletableFuture<Integer> exit = new CompletableFuture<>();
  private final HttpClient client = HttpClient.newHttpClient();

  /** Table with one row that never changes. */
  private static final class OneRow implements RowFeed {

    @Override
    public FeedAnswer snapshot() {
      return new FeedAnswer(List.of(new FeedRow("a", at(1), "", false)), at(1));
    }

    @Override
    public FeedAnswer changesAfter(
        StorePosition after, Duration wait, BooleanSupplier stillWanted) {
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return new FeedAnswer(List.of(), after);
    }
  }

  /** Store with nothing in quarantine. */
  private static final class EmptyQuarantine implements QuarantineStore {

    @Override
    public List<StoredContent> read() {
      return List.of();
    }

    @Override
    public void put(RequestFingerprint content) {}

    @Override
    public void putSuspect(RequestFingerprint content, Set<String> engines) {}

    @Override
    public void remove(RequestFingerprint content) {}
  }

  private static RoutingImage routing() {
    Route route =
        new Route(
            "route",
            "host",
            "/",
            RequestKind.NON_IDEMPOTENT,
            false,
            DEADLINE,
            DEADLINE,
            Duration.ZERO,
            DEADLINE,
            0,
            1,
            List.of(new WeightedService("app", 1)));
    return new RoutingImage(
        at(1),
        1,
        List.of(route),
        List.of(new ServiceDefinition("app", 100, Optional.empty())),
        RequestLimits.defaults());
  }

  private static CallerProtocol callers() {
    return new CallerProtocol() {
      @Override
      public CallerRequestHead readHead(Request request) {
        return new CallerRequestHead(
            "r-1",
            "host",
            "/x",
            "",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
      }

      @Override
      public void addOwnAnswerHeaders(
          HttpFields.Mutable headers, String requestId, Optional<Duration> retryAfter) {}
    };
  }

  /** Protocol that fails on the dispatch thread for requests that carry the fault header. */
  private static EngineProtocol engines() {
    return (EngineProtocol)
        Proxy.newProxyInstance(
            EngineProtocol.class.getClassLoader(),
            new Class<?>[] {EngineProtocol.class},
            (self, method, arguments) ->
                switch (method.getName()) {
                  case "requestHeaders" -> headersOrFault((HttpFields) arguments[0]);
                  case "readNotice" -> EngineNotice.NONE;
                  default -> null;
                });
  }

  private static HttpFields.Mutable headersOrFault(HttpFields caller) {
    if (caller.contains(FAULT_HEADER)) {
      throw new NoClassDefFoundError("a/B");
    }
    return HttpFields.build();
  }

  private static GatewayPlatform platform(NetworkAddress engine) {
    ServingEngine serving =
        new ServingEngine("e-1", "app", engine, "zone-1", 8, false, EngineStage.NONE);
    return new GatewayPlatform(
        callers(),
        engines(),
        http -> new OneRow(),
        row -> true,
        row -> routing(),
        http -> new OneRow(),
        row -> serving,
        http -> null,
        http -> new EmptyQuarantine(),
        http -> null,
        (http, address) -> null,
        http -> null,
        (http, address) -> null,
        "/ready");
  }

  private CompletableFuture<Integer> ask(GatewayServer gateway, boolean fault) {
    URI uri = URI.create("http://" + gateway.callersAddress() + "/x");
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString("body"));
    if (fault) {
      request.header(FAULT_HEADER, "yes");
    }
    return client
        .sendAsync(request.build(), HttpResponse.BodyHandlers.discarding())
        .thenApply(HttpResponse::statusCode);
  }

  private static int within(CompletableFuture<Integer> answer) throws Exception {
    return answer.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  /** Waits until the first byte of a request reaches the engine, which never answers it. */
  private static Socket takeRequest(ServerSocket engine) throws IOException {
    Socket connection = engine.accept();
    assertThat(connection.getInputStream().read()).isPositive();
    return connection;
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  @Test
  void everyRequestIsAnsweredTruthfullyAndTheNodeEnds() throws Exception {
    GatewaySettings settings =
        GatewaySettings.from(GatewaySettings.reader().toml("test", SETTINGS).values());
    try (ServerSocket engine = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        GatewayServer gateway =
            new GatewayServer(
                settings,
                platform(new NetworkAddress("127.0.0.1", engine.getLocalPort())),
                CallerSocket.bind(settings.callers()),
                exit::complete)) {
      gateway.start();
      await().atMost(TIMEOUT).until(gateway::ready);
      CompletableFuture<Integer> running = ask(gateway, false);
      try (Socket taken = takeRequest(engine)) {
        CompletableFuture<Integer> never = ask(gateway, true);
        assertThat(within(never)).as("no engine has seen it").isEqualTo(503);
        assertThat(within(running)).as("an engine may have run it").isEqualTo(502);
        assertThat(taken.isConnected()).isTrue();
      }
      assertThat(gateway.ready()).isFalse();
      assertThat(within(ask(gateway, false))).as("nothing more is taken").isEqualTo(503);
      assertThat(within(exit)).isEqualTo(ProcessExit.DUTY_FAILED);
      assertThat(gateway.inFlight()).isZero();
    }
  }
}
