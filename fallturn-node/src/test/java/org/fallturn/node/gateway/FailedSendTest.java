package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Context;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.AttemptTimeout;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.forwarding.ForwardedRequests;
import org.fallturn.core.routing.Caller;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.http.HttpListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that cannot be sent and whose node is not told so, and against one that
 * goes out after its send has failed: the HTTP client may have queued it, to be sent with the next.
 */
class FailedSendTest {

  private static final Duration LONG = Duration.ofMinutes(5);
  private static final int THREADS = 4;
  private static final int BODY_BYTES = 10;
  private static final String FAIL = "X-Fail";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicBoolean failing = new AtomicBoolean();
  private final BodyMemory bodies = new BodyMemory(1 << 20);
  private final GatewayState state = new GatewayState(null, bodies, Optional.empty());
  private RawEngine engine;
  private ServingEngine listed;
  private EngineClient engines;
  private EngineForwarder forwarder;
  private HttpListener node;

  @BeforeEach
  void start() throws Exception {
    engine = new RawEngine();
    // A name has to be looked up, for which the client needs a thread.
    listed = OneEngineGateway.engine(new NetworkAddress("localhost", engine.address().port()));
    Dispatcher dispatcher = new Dispatcher(OneEngineGateway.settings().dispatchParameters());
    DecisionLog log = new DecisionLog(new GatewayMetrics());
    engines =
        new EngineClient(
            OneEngineGateway.engines(FailedSendTest::failIfAsked),
            dispatcher.notices(),
            new ForwardedRequests(engine.address()),
            new EngineAnswerMemory(1 << 20),
            log,
            this::execute);
    forwarder =
        new EngineForwarder(
            state,
            engines,
            id -> Optional.of(listed),
            dispatcher.notices(),
            new PathActions(dispatcher, null, List::of),
            new ForwardingLeaseDuty(null),
            log);
    node = new HttpListener("node", new NetworkAddress("127.0.0.1", 0), THREADS, forwarder);
  }

  @AfterEach
  void stop() throws Exception {
    node.close();
    engines.close();
    engine.close();
    threads.shutdownNow();
  }

  private void execute(Runnable job) {
    if (failing.get()) {
      throw new OutOfMemoryError("unable to create native thread, as for the test");
    }
    threads.execute(job);
  }

  private static HttpFields failIfAsked(HttpFields headers) {
    if (headers.contains(FAIL)) {
      throw new OutOfMemoryError("as for the test");
    }
    return headers;
  }

  private Socket forward(String id, String headers) throws Exception {
    String asked =
        (ForwardingHeaders.ENGINE + ": " + listed.id() + "\r\n")
            + (ForwardingHeaders.KEY + ": " + id + "\r\n")
            + (ForwardingHeaders.OWNER + ": 127.0.0.1:1\r\n");
    return OneEngineGateway.send(
        node.address(), id, asked + headers + "Connection: close\r\n", BODY_BYTES);
  }

  private String answerTo(String id, String headers) throws Exception {
    try (Socket asking = forward(id, headers)) {
      return OneEngineGateway.readToEnd(asking);
    }
  }

  private String answerToFailedSend(String id) throws Exception {
    failing.set(true);
    try {
      return answerTo(id, "");
    } finally {
      failing.set(false);
    }
  }

  private void runNext() throws Exception {
    try (Socket asking = forward("next", "")) {
      await().atMost(OneEngineTest.LONGEST).until(() -> engine.got("next"));
      engine.connectionOf("next").answer("next");
      assertThat(OneEngineGateway.readToEnd(asking)).startsWith("HTTP/1.1 200");
    }
  }

  private static void assertNotSent(String answer) {
    assertThat(answer)
        .startsWith("HTTP/1.1 502")
        .containsOnlyOnce("HTTP/1.1")
        .containsOnlyOnce(ForwardingHeaders.RESULT + ": " + ForwardingResult.NOT_SENT);
  }

  @Test
  void nodeThatForwardsSaysThatTheRequestWasNotSent() throws Exception {
    assertNotSent(answerToFailedSend("once"));
  }

  @Test
  void requestThatWasQueuedDoesNotGoOutWithTheNextOne() throws Exception {
    answerToFailedSend("once");
    runNext();
    assertThat(engine.got("once")).isFalse();
  }

  /** Reading the head of the request fails, before the client has been given anything. */
  @Test
  void nodeThatFailsBeforeTheSendSaysThatTheRequestWasNotSent() throws Exception {
    assertNotSent(answerTo("once", FAIL + ": 1\r\n"));
    assertThat(engine.got("once")).isFalse();
  }

  @Test
  void nothingOfTheRequestIsKept() throws Exception {
    answerToFailedSend("queued");
    answerTo("unqueued", FAIL + ": 1\r\n");
    await().atMost(OneEngineTest.LONGEST).until(() -> state.inFlight() == 0);
    assertThat(bodies.reserved()).isZero();
  }

  /** Memory is used up before the end of the request could be watched for. */
  @Test
  void requestThatCannotBeWatchedHoldsNothing() {
    List<String> results = new ArrayList<>();
    Throwable failure =
        catchThrowable(
            () ->
                forwarder.handle(
                    requestThatFailsAt("addHttpStreamWrapper", new AtomicReference<>()),
                    answerTo(results),
                    Callback.NOOP));
    assertThat(state.inFlight()).isZero();
    assertThat(bodies.reserved()).isZero();
    assertThat(failure).isNull();
    assertThat(results).containsExactly(ForwardingResult.NOT_SENT.name());
  }

  /** Memory is used up after the server has been asked for the body. */
  @Test
  void requestWhoseBodyComesAfterTheFailureIsNotSent() throws Exception {
    List<String> results = new ArrayList<>();
    AtomicReference<Runnable> onBody = new AtomicReference<>();
    Throwable failure =
        catchThrowable(
            () ->
                forwarder.handle(
                    requestThatFailsAt("demand", onBody), answerTo(results), Callback.NOOP));
    onBody.get().run();
    runNext();
    assertThat(engine.got("once")).isFalse();
    assertThat(failure).isNull();
    assertThat(results).containsExactly(ForwardingResult.NOT_SENT.name());
  }

  /**
   * A request on which the server fails once.
   *
   * @param failing name of the method that fails
   * @param onBody takes what is to run when the body, which is empty, has come
   */
  private org.eclipse.jetty.server.Request requestThatFailsAt(
      String failing, AtomicReference<Runnable> onBody) {
    HttpFields headers =
        HttpFields.build()
            .put(OneEngineGateway.ID_HEADER, "once")
            .put(ForwardingHeaders.ENGINE, listed.id())
            .put(ForwardingHeaders.KEY, "key");
    Connection connection = ExchangeStub.stub(Connection.class, (self, method, none) -> null);
    ConnectionMetaData data =
        ExchangeStub.stub(ConnectionMetaData.class, (self, method, none) -> connection);
    Context context = ExchangeStub.stub(Context.class, (self, method, path) -> path[0]);
    return ExchangeStub.stub(
        org.eclipse.jetty.server.Request.class,
        (self, method, arguments) -> {
          if (method.getName().equals("demand")) {
            onBody.set((Runnable) arguments[0]);
          }
          if (method.getName().equals(failing)) {
            throw new OutOfMemoryError("as for the test");
          }
          return switch (method.getName()) {
            case "getHeaders" -> headers;
            case "getMethod" -> HttpMethod.GET.asString();
            case "getLength" -> (long) BODY_BYTES;
            case "getHttpURI" -> HttpURI.from("http://host/x");
            case "getContext" -> context;
            case "getConnectionMetaData" -> data;
            case "read" -> onBody.get() == null ? null : Content.Chunk.EOF;
            default -> null;
          };
        });
  }

  /** An answer that adds the result which it tells when it is written. */
  private static org.eclipse.jetty.server.Response answerTo(List<String> results) {
    HttpFields.Mutable headers = HttpFields.build();
    return ExchangeStub.stub(
        org.eclipse.jetty.server.Response.class,
        (self, method, arguments) -> {
          if (method.getName().equals("write")) {
            results.add(headers.get(ForwardingHeaders.RESULT));
          }
          return method.getName().equals("getHeaders") ? headers : null;
        });
  }

  /** The same for a request of a caller. */
  @Test
  void requestOfACallerDoesNotGoOutWithTheNextOne() throws Exception {
    List<DispatchEvent> events = new ArrayList<>();
    EngineAttempt attempt = newAttempt(events);
    Request request =
        engines.newForwarded(
            listed, "once", HttpMethod.GET.asString(), "/x", HttpFields.EMPTY, new byte[0]);
    failing.set(true);
    attempt.send(request, Optional.empty(), new EngineAnswerMemory(1 << 20).open(listed.address()));
    failing.set(false);
    assertThat(events)
        .singleElement()
        .isInstanceOfSatisfying(
            DispatchEvent.AttemptFailed.class,
            failed -> assertThat(failed.outcome()).isEqualTo(AttemptOutcome.NOT_SENT));
    runNext();
    assertThat(engine.got("once")).isFalse();
  }

  private EngineAttempt newAttempt(List<DispatchEvent> events) {
    org.eclipse.jetty.server.Response response =
        ExchangeStub.stub(org.eclipse.jetty.server.Response.class, (self, method, none) -> null);
    Exchange exchange =
        ExchangeStub.create(new HandlerArguments(null, response, null), events::add);
    EngineCall call =
        new EngineCall(
            listed,
            false,
            Optional.empty(),
            Optional.empty(),
            Caller.UNCHECKED,
            LONG,
            0,
            Optional.empty());
    return new EngineAttempt(exchange, call, engines, new AttemptTimeout(LONG, true));
  }
}
