package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.dispatch.EngineNotices;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.forwarding.ForwardedRequests;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.settings.GatewaySettings;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that are still sent after their engine has asked this node for a pause: the
 * client must hold them back.
 */
class EngineClientTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private static final String SETTINGS =
      """
      [gateway]
      node_name = "gateway-1"
      zone = "zone-1"
      callers = "127.0.0.1:0"
      readiness = "127.0.0.1:0"
      peers = "127.0.0.1:0"

      [store]
      address = "127.0.0.1:1"
      """;

  /** Protocol whose answers contain no notices. */
  private static EngineProtocol protocol() {
    return (EngineProtocol)
        Proxy.newProxyInstance(
            EngineProtocol.class.getClassLoader(),
            new Class<?>[] {EngineProtocol.class},
            (self, method, arguments) ->
                method.getName().equals("readNotice") ? EngineNotice.NONE : null);
  }

  /** Sends a call and waits for its result. */
  private static Result call(EngineClient client, ServingEngine engine) throws Exception {
    CompletableFuture<Result> result = new CompletableFuture<>();
    client.newRequest(engine, "GET", "/x").send(result::complete);
    return result.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  void sendsNothingToEngineThatAskedForPause() throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(8);
    threads.start();
    GatewaySettings settings =
        GatewaySettings.from(GatewaySettings.reader().toml("test", SETTINGS).values());
    EngineNotices notices = new Dispatcher(settings.dispatchParameters()).notices();
    DecisionLog log = new DecisionLog(new GatewayMetrics());
    ForwardedRequests forwarded = new ForwardedRequests(new NetworkAddress("127.0.0.1", 1));
    EngineAnswerMemory answers = new EngineAnswerMemory(1 << 20);
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        EngineClient client =
            new EngineClient(protocol(), notices, forwarded, answers, log, threads)) {
      ServingEngine engine =
          new ServingEngine(
              "e-1",
              "app",
              new NetworkAddress("127.0.0.1", server.getLocalPort()),
              "zone-1",
              8,
              false,
              EngineStage.NONE);
      notices.onRest(engine.id(), TIMEOUT.toNanos(), System.nanoTime());
      Result result = call(client, engine);
      assertThat(result.getRequestFailure()).isInstanceOf(EngineHeldBackException.class);
    } finally {
      threads.stop();
    }
  }
}
