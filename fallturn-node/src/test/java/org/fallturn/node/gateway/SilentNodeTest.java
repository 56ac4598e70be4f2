package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.http.HttpListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that goes on at a second engine while the first still works on it. A
 * node that had a request sent by another node gave it up and sent it on at once; the other one
 * learned of that by the end of their connection or by one call, both of which a silent link or a
 * node that does not get to run loses or delays.
 */
class SilentNodeTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final int QUESTIONS_IN_TWO_TERMS = 8;
  private static final int THREADS = 8;

  private final AtomicInteger questions = new AtomicInteger();
  private final List<Callback> unanswered = new CopyOnWriteArrayList<>();
  private volatile boolean answers = true;
  private RawEngine engine;
  private GatewayServer gateway;
  private HttpListener owner;

  @BeforeEach
  void start() throws Exception {
    engine = new RawEngine();
    gateway = OneEngineGateway.start(engine, headers -> headers);
    owner = new HttpListener("owner", new NetworkAddress("127.0.0.1", 0), THREADS, new Owner());
  }

  @AfterEach
  void stop() throws Exception {
    unanswered.forEach(Callback::succeeded);
    owner.close();
    gateway.close();
    engine.close();
  }

  /** The node that asked for the request; it wants all that it is asked about, or says nothing. */
  private final class Owner extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      String keys = Content.Source.asString(request, StandardCharsets.UTF_8);
      questions.incrementAndGet();
      if (answers) {
        response.write(true, BufferUtil.toBuffer(keys), callback);
      } else {
        unanswered.add(callback);
      }
      return true;
    }
  }

  private static void write(Socket node, String text) throws IOException {
    node.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private String ownerHeader() {
    return "Fallturn-Forward-Owner: 127.0.0.1:" + owner.address().port() + "\r\n";
  }

  private boolean engineIsLeft() {
    return engine.connections().get(0).ended();
  }

  @Test
  void engineIsLeftWhenTheNodeThatAskedFallsSilent() throws Exception {
    try (Socket node = OneEngineGateway.forward(gateway, "e-1", "asked", ownerHeader())) {
      await().atMost(LONGEST).until(() -> engine.got("asked"));
      await().atMost(LONGEST).until(() -> questions.get() >= QUESTIONS_IN_TWO_TERMS);
      assertThat(engineIsLeft()).isFalse();
      answers = false;
      await().atMost(LONGEST).until(this::engineIsLeft);
      assertThat(node.getInputStream().read()).isNotNegative();
    }
  }

  @Test
  void requestThatComesBehindItsCancellationIsNotSent() throws Exception {
    try (Socket cancels =
        new Socket(gateway.peersAddress().host(), gateway.peersAddress().port())) {
      write(
          cancels, "DELETE " + EngineForwarder.CANCEL_PREFIX + "asked HTTP/1.1\r\nHost: x\r\n\r\n");
      assertThat(cancels.getInputStream().read()).isNotNegative();
      try (Socket node = OneEngineGateway.forward(gateway, "e-1", "asked", "")) {
        assertThat(OneEngineGateway.readStatus(node)).isEqualTo("HTTP/1.1 502");
        assertThat(engine.got("asked")).isFalse();
      }
    }
  }
}
