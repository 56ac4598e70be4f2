package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.disconnect.DisconnectCause;
import org.fallturn.core.disconnect.OrphanedRun;
import org.fallturn.core.disconnect.OrphanedRuns;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.forwarding.ForwardedRequests;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that leaves an engine which still has it, and against one that waits for
 * an engine which will never tell.
 */
class OrphanedRunCheckTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final int THREADS = 8;

  /** Calls after which a request that does not wait has gone on. */
  private static final int REPORTS = 10;

  private final QueuedThreadPool threads = new QueuedThreadPool(THREADS);
  private final GatewayMetrics metrics = new GatewayMetrics();
  private RawEngine engine;
  private EngineClient client;

  @BeforeEach
  void start() throws Exception {
    threads.start();
    engine = new RawEngine();
    client =
        new EngineClient(
            OneEngineGateway.engines(headers -> headers),
            new Dispatcher(OneEngineGateway.settings().dispatchParameters()).notices(),
            new ForwardedRequests(new NetworkAddress("127.0.0.1", 1)),
            new EngineAnswerMemory(1 << 20),
            new DecisionLog(metrics),
            threads);
    // The first call of a process may take longer than an engine is waited for.
    engine.reportWork(0, "another");
    get(endOf("first", DisconnectCause.GIVEN_UP));
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    engine.close();
    threads.stop();
  }

  private CompletableFuture<RunEnd> endOf(String requestId, DisconnectCause cause) {
    return endOf(requestId, cause, engine.address());
  }

  private CompletableFuture<RunEnd> endOf(
      String requestId, DisconnectCause cause, NetworkAddress address) {
    ServingEngine listed =
        new ServingEngine("e-1", "app", address, "zone-1", 8, false, EngineStage.DECODE);
    long now = System.nanoTime();
    long sentNanos = now - OrphanedRuns.MAX_REPORT_AGE.toNanos();
    CompletableFuture<RunEnd> end = new CompletableFuture<>();
    client
        .orphanedRuns()
        .whenOver(
            listed,
            new OrphanedRun("e-1", requestId, sentNanos, now, now + LONGEST.toNanos(), cause),
            end::complete);
    return end;
  }

  private static RunEnd get(CompletableFuture<RunEnd> end) throws Exception {
    return end.get(LONGEST.toSeconds(), TimeUnit.SECONDS);
  }

  private void awaitReports(CompletableFuture<RunEnd> end) {
    int before = engine.reportsAsked();
    await().atMost(LONGEST).until(() -> end.isDone() || engine.reportsAsked() >= before + REPORTS);
  }

  private void awaitFoundToWorkOn() {
    await().atMost(LONGEST).until(() -> metrics.text().contains("event=\"ENGINE_WORKS_ON\""));
  }

  @Test
  void requestGoesOnWhenItsEngineHasNothingElse() throws Exception {
    engine.reportWork(0, "another");
    assertThat(get(endOf("one", DisconnectCause.GIVEN_UP))).isEqualTo(RunEnd.REPORTED);
  }

  /** It may still begin what waits there, or is being read. */
  @Test
  void requestWaitsWhileAnEngineThatWorksOnHasRequestsThatItDoesNotName() throws Exception {
    engine.reportWork(0, "one");
    CompletableFuture<RunEnd> one = endOf("one", DisconnectCause.GIVEN_UP);
    awaitFoundToWorkOn();
    engine.reportWork(1, "another");
    assertThat(get(one)).isEqualTo(RunEnd.REPORTED);
    CompletableFuture<RunEnd> two = endOf("two", DisconnectCause.GIVEN_UP);
    awaitReports(two);
    assertThat(two.getNow(null)).isNull();
    engine.reportWork(0, "another");
    assertThat(get(two)).isEqualTo(RunEnd.REPORTED);
  }

  @Test
  void requestDoesNotWaitForAnEngineThatHasCancelledSeveralRuns() throws Exception {
    cancelRun();
    cancelRun();
    cancelRun();
    engine.reportWork(0, "two");
    assertThat(endOf("two", DisconnectCause.GIVEN_UP))
        .isCompletedWithValue(RunEnd.CONNECTION_ENDED);
    awaitFoundToWorkOn();
  }

  private void cancelRun() throws Exception {
    int asked = engine.reportsAsked();
    engine.reportWork(0, "one");
    CompletableFuture<RunEnd> one = endOf("one", DisconnectCause.GIVEN_UP);
    await().atMost(LONGEST).until(() -> engine.reportsAsked() > asked);
    engine.reportWork(0, "another");
    assertThat(get(one)).isEqualTo(RunEnd.REPORTED);
  }

  /** A process that was suspended goes on with what it had. */
  @Test
  void engineThatAnswersLaterIsFoundToWorkOn() throws Exception {
    engine.answerReportsWith("");
    assertThat(get(endOf("one", DisconnectCause.ENGINE_SILENT))).isEqualTo(RunEnd.NOT_TOLD);
    engine.reportWork(0, "one");
    awaitFoundToWorkOn();
  }

  @Test
  void requestDoesNotWaitForAnEngineThatIsGone() throws Exception {
    NetworkAddress unused;
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unused = new NetworkAddress("127.0.0.1", closed.getLocalPort());
    }
    assertThat(get(endOf("one", DisconnectCause.GIVEN_UP, unused))).isEqualTo(RunEnd.ENGINE_GONE);
  }
}
