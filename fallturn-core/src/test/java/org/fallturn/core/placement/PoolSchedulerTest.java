package org.fallturn.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.placement.SchedulerFixture.SECOND;
import static org.fallturn.core.placement.SchedulerFixture.decode;
import static org.fallturn.core.placement.SchedulerFixture.isPlaced;
import static org.fallturn.core.placement.SchedulerFixture.prefill;
import static org.fallturn.core.placement.SchedulerFixture.refusal;
import static org.fallturn.core.placement.SchedulerFixture.request;
import static org.fallturn.core.placement.SchedulerFixture.serving;
import static org.fallturn.core.placement.SchedulerFixture.slots;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.fallturn.core.port.engine.LoadReport;
import org.junit.jupiter.api.Test;

class PoolSchedulerTest {

  @Test
  void placesOnTheLeastLoadedEnginesOfEachRole() {
    SchedulerFixture pool = new SchedulerFixture(slots(4, 10), 2, 2);

    PlacementAnswer.Placed first = placed(pool.submit(request("a").build(), 0));
    PlacementAnswer.Placed second = placed(pool.submit(request("b").build(), 0));

    assertThat(first.prefill().orElseThrow().engine())
        .isNotEqualTo(second.prefill().orElseThrow().engine());
    assertThat(first.decode().engine()).isNotEqualTo(second.decode().engine());
  }

  @Test
  void prefersTheEngineThatHoldsThePrefixUntilLoadOutweighsIt() {
    SchedulerFixture pool = new SchedulerFixture(slots(64, 10), 2, 2);
    List<Long> hashes = new ArrayList<>();
    for (long block = 0; block < 60; block++) {
      hashes.add(block);
    }
    PlacementAnswer.Placed first = placed(pool.submit(long1000("a", hashes), 0));
    pool.report(long1000("a", hashes), Stage.PREFILLED, 0, SECOND / 10);

    PlacementAnswer.Placed reused = placed(pool.submit(long1000("b", hashes), SECOND));
    assertThat(reused.prefill()).isEqualTo(first.prefill());

    pool.submit(request("big").prompt(3000, List.of()).build(), SECOND);
    PlacementAnswer.Placed other =
        placed(pool.submit(request("c").prompt(3000, List.of()).build(), SECOND));
    assertThat(other.prefill()).isPresent();
  }

  private static PlacementRequest long1000(String id, List<Long> hashes) {
    return request(id).prompt(1000, hashes).build();
  }

  @Test
  void servesStrictlyByUrgency() {
    SchedulerFixture pool = new SchedulerFixture(slots(1, 10), 1, 1);
    PlacementRequest running = request("running").build();
    pool.submit(running, 0);
    PlacementRequest batch = request("batch").urgency(Urgency.BATCH).build();
    PlacementRequest emergency = request("emergency").urgency(Urgency.EMERGENCY).build();
    assertThat(pool.submit(batch, 1)).isEmpty();
    assertThat(pool.submit(emergency, 2)).isEmpty();

    List<PlacementDecision> afterFirst = pool.report(running, Stage.COMPLETED, 10, SECOND);
    List<PlacementDecision> afterSecond = pool.report(emergency, Stage.COMPLETED, 10, 2 * SECOND);

    assertThat(afterFirst)
        .extracting(PlacementDecision::requestId)
        .containsExactly(emergency.requestId());
    assertThat(afterSecond)
        .extracting(PlacementDecision::requestId)
        .containsExactly(batch.requestId());
  }

  @Test
  void dividesThePoolByWeightWhateverTheQueueLengths() {
    SchedulerFixture pool = new SchedulerFixture(slots(1, 2000), 1, 1);
    PlacementRequest running = request("first").build();
    pool.submit(running, 0);
    Map<String, PlacementRequest> queued = new HashMap<>();
    for (int index = 0; index < 800; index++) {
      queue(pool, queued, request("aggressor-" + index).tenant("aggressor", 1).build());
    }
    for (int index = 0; index < 100; index++) {
      queue(pool, queued, request("victim-" + index).tenant("victim", 3).build());
    }

    Map<String, Integer> served = new HashMap<>();
    for (int round = 1; round <= 120; round++) {
      PlacementDecision next =
          pool.report(running, Stage.COMPLETED, 10, round * SECOND / 100).get(0);
      running = queued.get(next.requestId().value());
      served.merge(running.tenant().value(), 1, Integer::sum);
    }

    assertThat(served.get("victim")).isBetween(88, 92);
    assertThat(served.get("aggressor")).isBetween(28, 32);
  }

  private static void queue(
      SchedulerFixture pool, Map<String, PlacementRequest> queued, PlacementRequest request) {
    queued.put(request.requestId().value(), request);
    assertThat(pool.submit(request, 1)).isEmpty();
  }

  @Test
  void ordersOneTenantsRequestsByDeadline() {
    SchedulerFixture pool = new SchedulerFixture(slots(1, 10), 1, 1);
    PlacementRequest running = request("running").build();
    pool.submit(running, 0);
    pool.submit(request("late").deadlineMillis(50_000).build(), 0);
    pool.submit(request("soon").deadlineMillis(20_000).build(), 0);

    List<PlacementDecision> next = pool.report(running, Stage.COMPLETED, 10, SECOND);

    assertThat(next).extracting(decision -> decision.requestId().value()).containsExactly("soon");
  }

  @Test
  void refusesAtOnceWhatCannotBeServed() {
    SchedulerFixture pool = new SchedulerFixture(slots(1, 10), 1, 0);
    PlacementDecision noEngine = pool.submit(request("a").build(), 0).get(0);
    assertThat(refusal(noEngine).kind()).isEqualTo(ErrorKind.NO_CAPACITY);
    assertThat(refusal(noEngine).retryAfterMillis()).isPositive();

    SchedulerFixture serving = new SchedulerFixture(slots(1, 10), 1, 1);
    PlacementDecision past = serving.submit(request("b").deadlineMillis(-1).build(), 0).get(0);
    assertThat(refusal(past).kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
  }

  @Test
  void refusesAQueuedRequestOnceItHasNoChanceLongBeforeItsDeadline() {
    SchedulerFixture pool = calibrated();
    PlacementRequest running = request("running").output(1000).build();
    pool.submit(running, 100 * SECOND);
    PlacementRequest waiting = request("waiting").output(400).deadlineMillis(20_000).build();
    assertThat(pool.submit(waiting, 100 * SECOND)).isEmpty();

    pool.scheduler.advance(100 * SECOND + 13 * SECOND);

    List<PlacementDecision> decisions = pool.scheduler.takeDecisions();
    assertThat(decisions).hasSize(1);
    assertThat(refusal(decisions.get(0)).kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
    assertThat(pool.scheduler.queuedCount()).isZero();
  }

  @Test
  void refusesAtOnceWhatTheQueueAheadMakesLate() {
    SchedulerFixture pool = calibrated();
    pool.submit(request("running").output(1000).build(), 100 * SECOND);
    for (int index = 0; index < 20; index++) {
      pool.submit(request("queued-" + index).output(1000).build(), 100 * SECOND);
    }

    PlacementDecision decision =
        pool.submit(request("late").output(10).deadlineMillis(5000).build(), 100 * SECOND).get(0);
    assertThat(refusal(decision).kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);

    PlacementRequest otherTenant =
        request("other").tenant("other", 1).output(10).deadlineMillis(5000).build();
    assertThat(pool.submit(otherTenant, 100 * SECOND)).isEmpty();
  }

  /** One decode slot; a stream's token takes 20 ms, as measured. */
  private static SchedulerFixture calibrated() {
    SchedulerFixture pool = new SchedulerFixture(slots(1, 100), 1, 1);
    for (int index = 0; index < 60; index++) {
      PlacementRequest sample = request("sample-" + index).output(50).build();
      long start = index * SECOND;
      pool.submit(sample, start);
      pool.report(sample, Stage.PREFILLED, 0, start + SECOND / 100);
      pool.report(sample, Stage.COMPLETED, 50, start + SECOND / 100 + SECOND);
    }
    return pool;
  }

  @Test
  void aFullQueueRefusesTheLongestTenantsWorkNotTheVictims() {
    SchedulerFixture pool = new SchedulerFixture(slots(1, 4), 1, 1);
    pool.submit(request("running").build(), 0);
    for (int index = 0; index < 4; index++) {
      pool.submit(request("aggressor-" + index).tenant("aggressor", 1).build(), 0);
    }

    PlacementDecision own =
        pool.submit(request("aggressor-4").tenant("aggressor", 1).build(), 0).get(0);
    assertThat(own.requestId().value()).isEqualTo("aggressor-4");
    assertThat(refusal(own).kind()).isEqualTo(ErrorKind.NO_CAPACITY);

    PlacementDecision displaced =
        pool.submit(request("victim").tenant("victim", 1).build(), 0).get(0);
    assertThat(displaced.requestId().value()).isEqualTo("aggressor-3");
    assertThat(pool.scheduler.queuedCount()).isEqualTo(4);
  }

  @Test
  void skipsEnginesThatLeaveAreDrainedOrExcluded() {
    SchedulerFixture pool = new SchedulerFixture(slots(8, 10), 1, 2);
    PlacementRequest excluding = request("a").excluded(decode(0)).build();
    assertThat(placed(pool.submit(excluding, 0)).decode().engine()).isEqualTo(decode(1));

    pool.scheduler.beginDrain(decode(1), EngineRole.PREFILL);
    assertThat(placed(pool.submit(request("b").build(), 0)).decode().engine()).isEqualTo(decode(0));
    assertThat(pool.scheduler.isIdle(decode(1), 0)).isFalse();

    pool.report(excluding, Stage.COMPLETED, 10, SECOND);
    assertThat(pool.scheduler.isIdle(decode(1), 10 * SECOND)).isTrue();
  }

  @Test
  void anExcludedEngineDoesNotHoldUpOthers() {
    SchedulerFixture pool = new SchedulerFixture(slots(1, 10), 1, 2);
    PlacementRequest onFirst = request("x").excluded(decode(1)).build();
    pool.submit(onFirst, 0);
    PlacementRequest waiting = request("waiting").excluded(decode(1)).build();
    assertThat(pool.submit(waiting, 0)).isEmpty();

    assertThat(isPlaced(pool.submit(request("free").build(), 0).get(0))).isTrue();
    List<PlacementDecision> next = pool.report(onFirst, Stage.COMPLETED, 10, SECOND);
    assertThat(next).extracting(PlacementDecision::requestId).containsExactly(waiting.requestId());
  }

  @Test
  void aNewIncarnationFreesWhatTheOldOneHeld() {
    SchedulerFixture pool = new SchedulerFixture(slots(1, 10), 1, 1);
    pool.submit(request("a").build(), 0);
    assertThat(pool.submit(request("b").build(), 0)).isEmpty();

    pool.scheduler.onEngineState(serving(decode(0), 2, 0), SECOND);
    pool.scheduler.advance(SECOND);

    assertThat(pool.scheduler.takeDecisions())
        .extracting(decision -> decision.requestId().value())
        .containsExactly("b");
    assertThat(pool.scheduler.inFlightCount()).isEqualTo(1);
  }

  @Test
  void unknownLoadCountsUntilAReportSaysItDrained() {
    SchedulerFixture pool = new SchedulerFixture(slots(2, 10), 1, 1);
    pool.scheduler.onEngineState(serving(decode(0), 1, 2), SECOND);
    assertThat(pool.submit(request("a").build(), SECOND)).isEmpty();

    pool.scheduler.onLoadReport(load(1, 500), 3 * SECOND);
    pool.scheduler.advance(3 * SECOND);

    assertThat(pool.scheduler.takeDecisions()).hasSize(1);
  }

  @Test
  void aLaggingReportNeverReplacesTheExactCount() {
    SchedulerFixture pool = new SchedulerFixture(slots(2, 10), 1, 1);
    pool.submit(request("a").build(), SECOND);
    pool.submit(request("b").build(), SECOND);

    pool.scheduler.onLoadReport(load(0, 900), 2 * SECOND);
    assertThat(pool.submit(request("c").build(), 2 * SECOND)).isEmpty();

    pool.scheduler.onLoadReport(load(2, 100), 3 * SECOND);
    List<PlacementDecision> next =
        pool.report(request("a").build(), Stage.COMPLETED, 10, 3 * SECOND);
    assertThat(next).hasSize(1);
  }

  private static LoadReport load(int running, long ageMillis) {
    return new LoadReport(decode(0), 1, ageMillis, running, 0, 0, 0, 0, 0);
  }

  @Test
  void aRepeatedRequestGetsTheSamePlaceAndIsCountedOnce() {
    SchedulerFixture pool = new SchedulerFixture(slots(4, 10), 2, 2);
    PlacementRequest request = request("a").build();

    PlacementAnswer first = pool.submit(request, 0).get(0).answer();
    PlacementAnswer repeated = pool.submit(request, 1).get(0).answer();
    assertThat(repeated).isEqualTo(first);
    assertThat(pool.scheduler.inFlightCount()).isEqualTo(1);

    pool.submit(request("a").attempt(1).excluded(prefill(0)).build(), 2);
    assertThat(pool.scheduler.inFlightCount()).isEqualTo(1);
  }

  @Test
  void oneTenantsFailuresNeverTakeAnEngineFromOthersButTwoTenantsDo() {
    SchedulerFixture pool = new SchedulerFixture(slots(8, 10), 1, 1);
    for (int index = 0; index < 5; index++) {
      fail(pool, request("bad-" + index).tenant("aggressor", 1).build(), index);
    }
    assertThat(isPlaced(pool.submit(request("a").tenant("victim", 1).build(), 6).get(0))).isTrue();
    assertThat(pool.scheduler.takeDoubted()).containsExactly(decode(0));

    fail(pool, request("b").tenant("victim", 1).build(), 7);
    assertThat(pool.submit(request("c").tenant("victim", 1).build(), 8)).isEmpty();
    pool.scheduler.onEngineState(serving(decode(0), 1, 0), 9);
    pool.scheduler.advance(9);
    assertThat(isPlaced(pool.scheduler.takeDecisions().get(0))).isTrue();
  }

  private static void fail(SchedulerFixture pool, PlacementRequest request, long nowNanos) {
    assertThat(isPlaced(pool.submit(request, nowNanos).get(0))).isTrue();
    pool.report(request, Stage.DECODE_FAILED, 0, nowNanos);
  }

  private static PlacementAnswer.Placed placed(List<PlacementDecision> decisions) {
    assertThat(decisions).hasSize(1);
    return (PlacementAnswer.Placed) decisions.get(0).answer();
  }
}
