package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.domain.NetworkAddress;
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

  private static final String FAULT_HEADER = "X-Fault";

  private final CompletableFuture<Integer> exit = new CompletableFuture<>();
  private final HttpClient client = HttpClient.newHttpClient();

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

  /** Fails on the dispatch thread for requests that carry the fault header. */
  private static HttpFields headersOrFault(HttpFields caller) {
    if (caller.contains(FAULT_HEADER)) {
      throw new NoClassDefFoundError("a/B");
    }
    return caller;
  }

  @Test
  void everyRequestIsAnsweredTruthfullyAndTheNodeEnds() throws Exception {
    GatewaySettings settings = OneEngineGateway.settings();
    try (ServerSocket engine = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        GatewayServer gateway =
            new GatewayServer(
                settings,
                OneEngineGateway.platform(
                    new NetworkAddress("127.0.0.1", engine.getLocalPort()),
                    OneEngineGateway.engines(DispatchFaultTest::headersOrFault)),
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
