package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.http.HttpListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that is sent on while the node that sent it before still has it at an
 * engine: a cancellation was sent once, and nobody waited for what came of it.
 */
class ForwardedRunTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final int THREADS = 8;

  /** With the pauses between them, they take several times the lease. */
  private static final int ANSWERS_BEYOND_LEASE = 12;

  private final List<Callback> unanswered = new CopyOnWriteArrayList<>();
  private final List<RunEnd> ends = new CopyOnWriteArrayList<>();
  private final QueuedThreadPool threads = new QueuedThreadPool(THREADS);
  private volatile boolean confirms;
  private volatile boolean tellsThatItRuns;
  private final AtomicInteger stillRunning = new AtomicInteger();
  private HttpClient client;
  private HttpListener forwarder;
  private NetworkAddress address;

  @BeforeEach
  void start() throws Exception {
    threads.start();
    client = PlainHttpClients.startForControl(threads);
    forwarder =
        new HttpListener("forwarder", new NetworkAddress("127.0.0.1", 0), THREADS, new Answering());
    address = forwarder.address();
  }

  @AfterEach
  void stop() throws Exception {
    unanswered.forEach(Callback::succeeded);
    client.stop();
    forwarder.close();
    threads.stop();
  }

  /** Confirms cancellations, says that the request still runs, or says nothing. */
  private final class Answering extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      if (confirms || tellsThatItRuns) {
        response.setStatus(confirms ? HttpStatus.OK_200 : HttpStatus.ACCEPTED_202);
        stillRunning.incrementAndGet();
        response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      } else {
        unanswered.add(callback);
      }
      return true;
    }
  }

  private ForwardedRun runWithLease(Duration lease) {
    long leaseEnd = System.nanoTime() + lease.toNanos();
    ForwardedRun run =
        new ForwardedRun(
            () ->
                client
                    .newRequest(address.host(), address.port())
                    .method(HttpMethod.DELETE)
                    .path("/cancel"),
            () -> leaseEnd,
            client.getScheduler());
    run.whenOver(ends::add);
    return run;
  }

  @Test
  void runIsOverOnceTheOtherNodeConfirmsIt() {
    runWithLease(Duration.ofHours(1)).onCallEnded(RunEnd.CONNECTION_ENDED);
    await().atMost(LONGEST).until(() -> unanswered.size() > 1);
    assertThat(ends).isEmpty();
    confirms = true;
    await().atMost(LONGEST).until(() -> ends.equals(List.of(RunEnd.FORWARDER_CONFIRMED)));
  }

  @Test
  void runAtANodeThatAnswersNothingIsOverWithItsLease() {
    long begin = System.nanoTime();
    runWithLease(Duration.ofMillis(1_500)).onCallEnded(RunEnd.CONNECTION_ENDED);
    await().atMost(LONGEST).until(() -> ends.equals(List.of(RunEnd.LEASE_OVER)));
    assertThat(System.nanoTime() - begin).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(1_400));
  }

  /** The engine works on beyond the lease, which ends no run. */
  @Test
  void runIsNotOverWhileTheOtherNodeSaysThatItsEngineWorksOn() {
    tellsThatItRuns = true;
    runWithLease(Duration.ofMillis(100)).onCallEnded(RunEnd.CONNECTION_ENDED);
    await().atMost(LONGEST).until(() -> stillRunning.get() > ANSWERS_BEYOND_LEASE);
    assertThat(ends).isEmpty();
    confirms = true;
    await().atMost(LONGEST).until(() -> ends.equals(List.of(RunEnd.FORWARDER_CONFIRMED)));
  }

  @Test
  void runAtANodeThatFallsSilentAfterwardsIsOver() {
    tellsThatItRuns = true;
    runWithLease(Duration.ofMillis(100)).onCallEnded(RunEnd.CONNECTION_ENDED);
    await().atMost(LONGEST).until(() -> stillRunning.get() > 1);
    tellsThatItRuns = false;
    await().atMost(LONGEST).until(() -> ends.equals(List.of(RunEnd.LEASE_OVER)));
  }

  @Test
  void runAtANodeThatHasEndedIsOverAtOnce() throws Exception {
    forwarder.close();
    runWithLease(Duration.ofHours(1)).onCallEnded(RunEnd.CONNECTION_ENDED);
    await().atMost(LONGEST).until(() -> ends.equals(List.of(RunEnd.FORWARDER_GONE)));
  }

  @Test
  void answerOfTheOtherNodeIsEnough() {
    runWithLease(Duration.ofHours(1)).onCallEnded(RunEnd.FORWARDER_ANSWERED);
    assertThat(ends).containsExactly(RunEnd.FORWARDER_ANSWERED);
    assertThat(unanswered).isEmpty();
  }
}
