package org.fallturn.node.callers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Application services over loopback against scripted back ends. */
class ApplicationsDoorTest {

  private static final String ONCE = "/services/stock-once/reserve";
  private static final String REPEATABLE = "/services/stock/look";
  private static final Duration WAIT = Duration.ofSeconds(30);

  private final MemoryTable table = new MemoryTable();
  private DoorFixture fixture;
  private ScriptedApplication first;
  private ScriptedApplication second;

  @BeforeEach
  void open() throws Exception {
    fixture = new DoorFixture(table, Duration.ofSeconds(5));
    first = new ScriptedApplication("application-1");
    second = new ScriptedApplication("application-2");
    list(Machine.State.LIVE);
  }

  private void list(Machine.State stateOfFirst) {
    ZoneName far = new ZoneName("jundiz");
    fixture.machines =
        new MachineList(
            1,
            List.of(
                first.machine("stock", DoorFixture.ZONE, stateOfFirst),
                second.machine("stock", far, Machine.State.LIVE),
                first.machine("stock-once", DoorFixture.ZONE, stateOfFirst),
                second.machine("stock-once", far, Machine.State.LIVE)));
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
    first.close();
    second.close();
  }

  @Test
  void forwardsToTheNearBackEndWithoutTheCallersKey() throws Exception {
    HttpResponse<String> answer = fixture.post(REPEATABLE, "oil", "X-Business-Key", "b1");
    assertThat(answer.body()).isEqualTo("/services/stock/look did oil");
    assertThat(first.headers.get(0).contains("Authorization")).isFalse();
    assertThat(first.headers.get(0).get("X-Tenant")).isEqualTo("alava");
    assertThat(first.headers.get(0).get("X-Business-Key")).isEqualTo("b1");
    assertThat(second.bodies).isEmpty();
  }

  @Test
  void aLeavingBackEndGetsNothingNew() throws Exception {
    list(Machine.State.LEAVING);
    fixture.post(REPEATABLE, "oil");
    assertThat(first.bodies).isEmpty();
    assertThat(second.bodies).hasSize(1);
  }

  @Test
  void aRepeatableRequestIsTriedElsewhere() throws Exception {
    first.next(ScriptedApplication.CRASH);
    assertThat(fixture.post(REPEATABLE, "oil").body()).endsWith("did oil");
    assertThat(second.bodies).hasSize(1);
  }

  @Test
  void aRequestThatMayNotBeRepeatedIsSentOnce() throws Exception {
    first.next(ScriptedApplication.CRASH);
    HttpResponse<String> answer = fixture.post(ONCE, "oil");
    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(answer.body()).contains("OUTCOME_UNKNOWN", "outcome-unknown");
    assertThat(second.bodies).isEmpty();
  }

  @Test
  void aRefusedConnectionMovesAlsoWhatMayNotBeRepeated() throws Exception {
    first.close();
    assertThat(fixture.post(ONCE, "oil").body()).endsWith("did oil");
    second.close();
    HttpResponse<String> answer = fixture.post(ONCE, "oil");
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.body()).contains("not-run");
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
  }

  @Test
  void aLargeAnswerIsPassedOnAndABrokenOneNeverLooksWhole() throws Exception {
    byte[] large = new byte[1_000_000];
    first.next((response, callback) -> response.write(true, ByteBuffer.wrap(large), callback));
    assertThat(fixture.post(REPEATABLE, "a").body()).hasSize(large.length);
    first.next(
        (response, callback) ->
            response.write(
                false,
                ByteBuffer.wrap(large),
                Callback.from(() -> runQuietly(response, callback), callback::failed)));
    assertThatThrownBy(() -> fixture.post(REPEATABLE, "a")).isInstanceOf(IOException.class);
  }

  private static void runQuietly(org.eclipse.jetty.server.Response response, Callback callback) {
    try {
      ScriptedApplication.CRASH.run(response, callback);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void aRetryWithTheSameKeyGetsTheStoredAnswer() throws Exception {
    HttpResponse<String> answer = fixture.post(ONCE, "oil", "Idempotency-Key", "k1");
    await().atMost(WAIT).until(() -> fixture.door.inFlight() == 0);
    HttpResponse<String> retry = fixture.post(ONCE, "oil", "Idempotency-Key", "k1");
    assertThat(retry.body()).isEqualTo(answer.body());
    assertThat(retry.headers().firstValue("Idempotent-Replayed")).contains("true");
    assertThat(first.bodies).hasSize(1);
    HttpResponse<String> other = fixture.post(ONCE, "bread", "Idempotency-Key", "k1");
    assertThat(other.statusCode()).isEqualTo(400);
    assertThat(other.body()).contains("INVALID_REQUEST");
    assertThat(first.bodies).hasSize(1);
  }

  @Test
  void aLostAnswerOfTheStoreIsSettledByReadingBack() throws Exception {
    table.answersToLose.set(1);
    assertThat(fixture.post(ONCE, "oil", "Idempotency-Key", "k1").statusCode()).isEqualTo(200);
    assertThat(first.bodies).hasSize(1);
  }

  @Test
  void aStoreThatIsDownMeansNotRun() throws Exception {
    table.down = true;
    HttpResponse<String> answer = fixture.post(ONCE, "oil", "Idempotency-Key", "k1");
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.body()).contains("STORE_UNAVAILABLE", "not-run");
    assertThat(first.bodies).isEmpty();
    assertThat(fixture.post(ONCE, "oil").statusCode()).isEqualTo(200);
    table.down = false;
    assertThat(fixture.post(ONCE, "oil", "Idempotency-Key", "k1").statusCode()).isEqualTo(200);
  }

  @Test
  void aRetryWhileTheFirstRunsIsToldSoAndOneAfterAFailureThatNobodyKnows() throws Exception {
    CountDownLatch goOn = new CountDownLatch(1);
    first.next(
        (response, callback) -> {
          goOn.await();
          ScriptedApplication.CRASH.run(response, callback);
        });
    var running =
        fixture
            .caller()
            .sendAsync(
                fixture
                    .request(ONCE)
                    .header("Idempotency-Key", "k1")
                    .POST(java.net.http.HttpRequest.BodyPublishers.ofString("oil"))
                    .build(),
                HttpResponse.BodyHandlers.ofString());
    await().atMost(WAIT).until(() -> first.bodies.size() == 1);
    HttpResponse<String> early = fixture.post(ONCE, "oil", "Idempotency-Key", "k1");
    assertThat(early.statusCode()).isEqualTo(409);
    assertThat(early.body()).contains("IN_PROGRESS");
    assertThat(early.headers().firstValue("Retry-After")).isPresent();
    goOn.countDown();
    assertThat(running.get().body()).contains("OUTCOME_UNKNOWN");
    await().atMost(WAIT).until(() -> fixture.door.inFlight() == 0);
    HttpResponse<String> late = fixture.post(ONCE, "oil", "Idempotency-Key", "k1");
    assertThat(late.body()).contains("OUTCOME_UNKNOWN");
    assertThat(first.bodies).hasSize(1);
    assertThat(second.bodies).isEmpty();
  }

  @Test
  void aKeyIsFreeAgainAfterNotRun() throws Exception {
    fixture.machines = new MachineList(2, List.of());
    assertThat(fixture.post(ONCE, "oil", "Idempotency-Key", "k1").body()).contains("NO_CAPACITY");
    list(Machine.State.LIVE);
    await()
        .atMost(WAIT)
        .until(() -> fixture.post(ONCE, "oil", "Idempotency-Key", "k1").statusCode() == 200);
    assertThat(first.bodies).hasSize(1);
  }
}
