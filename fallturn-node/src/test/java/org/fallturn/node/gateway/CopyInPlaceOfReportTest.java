package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.forwarding.ForwardedRequests;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an engine that counts as gone, or an order that counts as refused, since the copy
 * of a request's refusal came in the place of the answer to a call of the node's own.
 */
class CopyInPlaceOfReportTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final String MISDIRECTED =
      "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n%s: 1\r\n"
          .formatted(OneEngineGateway.NOT_EXECUTED_HEADER);
  private static final String COPY =
      MISDIRECTED + OneEngineGateway.ID_HEADER + ": refused-before\r\n\r\n";

  private final QueuedThreadPool threads = new QueuedThreadPool(8);
  private RawEngine engine;
  private ServingEngine listed;
  private EngineClient client;

  @BeforeEach
  void start() throws Exception {
    threads.start();
    engine = new RawEngine();
    listed = OneEngineGateway.engine(engine.address());
    client =
        new EngineClient(
            OneEngineGateway.engines(headers -> headers),
            new Dispatcher(OneEngineGateway.settings().dispatchParameters()).notices(),
            new ForwardedRequests(new NetworkAddress("127.0.0.1", 1)),
            new EngineAnswerMemory(1 << 20),
            new DecisionLog(new GatewayMetrics()),
            threads);
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    engine.close();
    threads.stop();
  }

  private EngineLiveness ask() throws Exception {
    CompletableFuture<EngineLiveness> liveness = new CompletableFuture<>();
    client
        .newReport(listed)
        .send(
            new BufferingResponseListener(EngineClient.MAX_REPORT_BYTES) {
              @Override
              public void onComplete(Result result) {
                liveness.complete(
                    EngineLiveness.of(listed, result, getContent(), client.protocol()));
              }
            });
    return liveness.get(LONGEST.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  void copyShowsNothingOfTheEngine() throws Exception {
    engine.answerReportsWith(COPY);
    assertThat(ask()).isEqualTo(EngineLiveness.UNKNOWN);
  }

  @Test
  void nextCallGetsItsOwnAnswer() throws Exception {
    engine.answerReportsWith(COPY);
    ask();
    engine.answerReportsWith(RawEngine.REPORT);
    assertThat(ask()).isEqualTo(EngineLiveness.RUNS);
    assertThat(engine.connections()).hasSize(2);
  }

  @Test
  void copyIsNoReportBeforeAnOrder() throws Exception {
    engine.answerReportsWith(COPY.replace("421 Other", "200 OK"));
    assertThat(new EngineOrders(client).report(listed)).isEqualTo(Optional.empty());
  }

  @Test
  void refusalThatNamesNoRequestIsTheAnswerToTheCall() throws Exception {
    engine.answerReportsWith(MISDIRECTED + "\r\n");
    assertThat(ask()).isEqualTo(EngineLiveness.GONE);
  }
}
