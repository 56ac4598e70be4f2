package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.AttemptTimeout;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.forwarding.ForwardedRequests;
import org.fallturn.core.routing.Caller;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that counts as not run because of a refusal of another one, which came
 * in the place of its answer: no memory was left to end the answer, and the HTTP client went on.
 */
class HeadOfAnotherRequestTest {

  private static final Duration LONG = Duration.ofMinutes(5);
  private static final ServingEngine ENGINE =
      OneEngineGateway.engine(new NetworkAddress("127.0.0.1", 1));

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<DispatchEvent> events = new ArrayList<>();
  private EngineClient engines;

  @BeforeEach
  void start() throws Exception {
    Dispatcher dispatcher = new Dispatcher(OneEngineGateway.settings().dispatchParameters());
    engines =
        new EngineClient(
            OneEngineGateway.engines(headers -> headers),
            dispatcher.notices(),
            new ForwardedRequests(ENGINE.address()),
            new EngineAnswerMemory(1 << 20),
            new DecisionLog(new GatewayMetrics()),
            threads);
  }

  @AfterEach
  void stop() throws Exception {
    engines.close();
    threads.shutdownNow();
  }

  private Exchange exchange() {
    org.eclipse.jetty.server.Response response =
        ExchangeStub.stub(org.eclipse.jetty.server.Response.class, (self, method, none) -> null);
    return ExchangeStub.create(new HandlerArguments(null, response, null), events::add);
  }

  /** A request that begins when it is sent, and whose answer is left to the test. */
  private static Request begunWhenSent() {
    List<Request.BeginListener> listeners = new ArrayList<>();
    return ExchangeStub.stub(
        Request.class,
        (self, method, arguments) -> {
          if (method.getName().equals("onRequestBegin")) {
            listeners.add((Request.BeginListener) arguments[0]);
          } else if (method.getName().equals("send")) {
            listeners.forEach(listener -> listener.onBegin((Request) self));
          }
          return method.getReturnType().isInstance(self) ? self : null;
        });
  }

  /** A refusal that names another request, and that cannot be aborted for want of memory. */
  private static Response refusalOfAnother(Request request) {
    HttpFields headers =
        HttpFields.build()
            .put(OneEngineGateway.ID_HEADER, "another")
            .put(OneEngineGateway.NOT_EXECUTED_HEADER, "1")
            .put("Content-Length", "0");
    return ExchangeStub.stub(
        Response.class,
        (self, method, arguments) ->
            switch (method.getName()) {
              case "getHeaders" -> headers;
              case "getStatus" -> HttpStatus.SERVICE_UNAVAILABLE_503;
              case "getRequest" -> request;
              case "abort" -> throw new OutOfMemoryError("as for the test");
              default -> null;
            });
  }

  @Test
  void refusalOfAnotherRequestProvesNothing() {
    EngineCall call =
        new EngineCall(
            ENGINE,
            false,
            Optional.empty(),
            Optional.empty(),
            Caller.UNCHECKED,
            LONG,
            0,
            Optional.empty());
    EngineAttempt attempt =
        new EngineAttempt(exchange(), call, engines, new AttemptTimeout(LONG, true));
    Request request = begunWhenSent();
    attempt.send(request, Optional.empty(), new EngineAnswerMemory(1 << 20).open(ENGINE.address()));
    Response refusal = refusalOfAnother(request);
    try {
      attempt.onHeaders(refusal);
    } catch (OutOfMemoryError expected) {
      assertThat(expected).hasMessage("as for the test");
    }
    attempt.onComplete(new Result(request, refusal));
    assertThat(events)
        .singleElement()
        .isInstanceOfSatisfying(
            DispatchEvent.AttemptFailed.class,
            failed -> assertThat(failed.outcome()).isEqualTo(AttemptOutcome.LOST));
  }
}
