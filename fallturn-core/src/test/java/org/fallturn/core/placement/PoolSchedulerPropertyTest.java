package org.fallturn.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.placement.SchedulerFixture.POOL;
import static org.fallturn.core.placement.SchedulerFixture.SECOND;
import static org.fallturn.core.placement.SchedulerFixture.decode;
import static org.fallturn.core.placement.SchedulerFixture.prefill;
import static org.fallturn.core.placement.SchedulerFixture.request;
import static org.fallturn.core.placement.SchedulerFixture.serving;
import static org.fallturn.core.placement.SchedulerFixture.slots;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.core.roles.EngineObservation;
import org.fallturn.core.roles.PoolObservation;

class PoolSchedulerPropertyTest {
  private static final int SLOTS = 3;
  private static final int ENGINES = 2;
  private static final int EVENTS = 300;

  @Property(tries = 200, seed = "20261203")
  void countsNeverFallBelowZeroNorLeakAndEveryRequestIsAnswered(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int maxQueued) {
    Run run = new Run(seed, maxQueued);
    for (int event = 0; event < EVENTS; event++) {
      run.randomEvent();
      run.checkCounts();
    }
    run.finish();
  }

  /** One random history. */
  private static final class Run {
    private final Random random;
    private final SchedulerFixture pool;
    private final List<PlacementRequest> submitted = new ArrayList<>();
    private final Map<RequestId, Integer> attempts = new HashMap<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private long incarnation = 1;
    private long now;

    Run(long seed, int maxQueued) {
      random = new Random(seed);
      pool = new SchedulerFixture(slots(SLOTS, maxQueued), ENGINES, ENGINES);
    }

    void randomEvent() {
      now += random.nextInt((int) SECOND / 5);
      switch (random.nextInt(10)) {
        case 0, 1, 2, 3 -> submit();
        case 4, 5, 6 -> progress();
        case 7 -> engineEvent();
        case 8 -> report();
        default -> pool.scheduler.advance(now);
      }
      collect();
    }

    private void submit() {
      boolean again = !submitted.isEmpty() && random.nextInt(5) == 0;
      String id = again ? any(submitted).requestId().value() : "request-" + submitted.size();
      PlacementRequest request =
          request(id)
              .attempt(again ? random.nextInt(3) : 0)
              .tenant("tenant-" + random.nextInt(3), 1 + random.nextInt(3))
              .urgency(Urgency.values()[random.nextInt(4)])
              .prompt(1 + random.nextInt(3000), List.of())
              .output(random.nextInt(200))
              .deadlineMillis(random.nextInt(20_000) - 100)
              .excluded(random.nextInt(4) == 0 ? new EngineId[] {anyEngine()} : new EngineId[0])
              .build();
      submitted.add(request);
      pool.scheduler.submit(request, random.nextInt(4) > 0, now);
    }

    private void progress() {
      if (submitted.isEmpty()) {
        return;
      }
      PlacementRequest request = any(submitted);
      Stage stage = Stage.values()[random.nextInt(Stage.values().length)];
      pool.scheduler.onProgress(
          new PlacementProgress(
              POOL, request.requestId(), request.attempt(), stage, random.nextInt(300)),
          now);
    }

    private void engineEvent() {
      EngineId engine = anyEngine();
      switch (random.nextInt(5)) {
        case 0 -> pool.scheduler.onEngineState(serving(engine, ++incarnation, 0), now);
        case 1 -> pool.scheduler.onEngineUnreachable(engine, now);
        case 2 -> pool.scheduler.beginDrain(engine, EngineRole.DECODE);
        case 3 -> pool.scheduler.endDrain(engine);
        default ->
            pool.scheduler.onEngineState(serving(engine, incarnation, random.nextInt(5)), now);
      }
    }

    private void report() {
      LoadReport report =
          new LoadReport(
              anyEngine(), incarnation, random.nextInt(3000), random.nextInt(4), 0, 50, 0, 0, 0);
      pool.scheduler.onLoadReport(report, now);
    }

    private EngineId anyEngine() {
      int index = random.nextInt(ENGINES);
      return random.nextBoolean() ? prefill(index) : decode(index);
    }

    private <T> T any(List<T> values) {
      return values.get(random.nextInt(values.size()));
    }

    private void collect() {
      for (PlacementDecision decision : pool.scheduler.takeDecisions()) {
        answers.merge(decision.requestId() + "/" + decision.attempt(), 1, Integer::sum);
      }
    }

    void checkCounts() {
      PoolObservation observation = pool.scheduler.observe(now);
      for (EngineObservation engine : observation.engines()) {
        assertThat(engine.inFlightRequests()).isNotNegative();
        assertThat(engine.inFlightPromptTokens()).isNotNegative();
        assertThat(engine.inFlightOutputTokens()).isNotNegative();
      }
    }

    void finish() {
      now += 60 * SECOND;
      pool.scheduler.advance(now);
      collect();
      for (int index = 0; index < ENGINES; index++) {
        pool.scheduler.onEngineState(serving(prefill(index), ++incarnation, 0), now);
        pool.scheduler.onEngineState(serving(decode(index), ++incarnation, 0), now);
      }
      assertThat(pool.scheduler.inFlightCount()).isZero();
      assertThat(pool.scheduler.queuedCount()).isZero();
      assertThat(pool.scheduler.observe(now).engines())
          .allSatisfy(
              engine -> {
                assertThat(engine.inFlightRequests()).isZero();
                assertThat(engine.inFlightPromptTokens()).isZero();
                assertThat(engine.inFlightOutputTokens()).isZero();
              });
      assertThat(submitted)
          .allSatisfy(r -> assertThat(answers).containsKey(r.requestId() + "/" + r.attempt()));
    }
  }
}
