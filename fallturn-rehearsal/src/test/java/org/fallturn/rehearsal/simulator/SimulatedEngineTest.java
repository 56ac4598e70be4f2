package org.fallturn.rehearsal.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.PoolId;
import org.fallturn.rehearsal.engine.EngineCostModel;
import org.fallturn.rehearsal.engine.EngineCosts;
import org.fallturn.rehearsal.engine.StepWork;
import org.fallturn.rehearsal.workload.TimedRequest;
import org.fallturn.rehearsal.workload.TrafficClass;
import org.fallturn.rehearsal.workload.Workload;
import org.fallturn.rehearsal.workload.WorkloadFile;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The coarse events of the simulated engine against the cost model's steps, one by one. */
class SimulatedEngineTest {
  private static final long END = 1_000_000_000_000L;
  private static final int PROMPT = 5_000;

  private final EventQueue events = new EventQueue();
  private final EngineCostModel costs = new EngineCostModel(EngineCosts.DEFAULT);
  private final List<Long> prefilledAt = new ArrayList<>();
  private final List<Long> completedAt = new ArrayList<>();
  private SimulationContext context;
  private Workload workload;
  private long nextIndex;

  @BeforeEach
  void readWorkload() throws Exception {
    workload = WorkloadFile.builtIn("alava");
    context =
        new SimulationContext(
            events,
            workload,
            SimulationSettings.DEFAULT,
            costs,
            RandomSource.XO_SHI_RO_256_PP.create(1),
            PoolId.parse("lakua/order-assistant/0"),
            new OutcomeRecorder(new Timeline(1)));
  }

  @Test
  void aPromptTakesTheTimeOfTheCostModel() {
    SimulatedEngine engine = engine(EngineRole.PREFILL);

    engine.prefill(request(PROMPT, 1));
    events.runUntil(END);

    assertThat(prefilledAt).containsExactly(costs.prefillNanos(PROMPT));
  }

  @Test
  void aBatchOfAnswersTakesTheTimeOfItsSteps() {
    SimulatedEngine engine = engine(EngineRole.DECODE);
    int[] outputs = {40, 100, 170};
    for (int output : outputs) {
      engine.generate(request(PROMPT, output));
    }

    events.runUntil(END);

    List<Long> expected = stepByStep(outputs);
    for (int index = 0; index < outputs.length; index++) {
      assertThat(completedAt.get(index))
          .isCloseTo(expected.get(index), within(expected.get(index) / 100));
    }
  }

  @Test
  void moreAnswersThanSlotsWaitForASlot() {
    SimulatedEngine engine = engine(EngineRole.DECODE);
    int slots = EngineCosts.DEFAULT.maxRunning();
    for (int index = 0; index < slots + 1; index++) {
      engine.generate(request(PROMPT, 10));
    }

    events.runUntil(END);

    assertThat(completedAt).hasSize(slots + 1);
    assertThat(completedAt.get(slots)).isGreaterThan(completedAt.get(slots - 1));
  }

  private List<Long> stepByStep(int[] outputs) {
    List<Long> finished = new ArrayList<>();
    long now = 0;
    for (int step = 0; finished.size() < outputs.length; step++) {
      int running = outputs.length - finished.size();
      long contextTokens = (long) running * (PROMPT + step);
      now += costs.stepNanos(new StepWork(0, running, contextTokens));
      if (step + 1 == outputs[finished.size()]) {
        finished.add(now);
      }
    }
    return finished;
  }

  private SimulatedEngine engine(EngineRole role) {
    EngineListener listener =
        new EngineListener() {
          @Override
          public void onPrefilled(SimulatedEngine engine, SimulatedRequest request) {
            prefilledAt.add(events.nowNanos());
          }

          @Override
          public void onCompleted(SimulatedEngine engine, SimulatedRequest request) {
            completedAt.add(events.nowNanos());
          }

          @Override
          public void onCacheChange(SimulatedEngine engine, SharedPrefix prefix, boolean stored) {
            assertThat(prefix).isNotNull();
          }
        };
    var description =
        new SimulatedEngine.Description(
            new EngineId("e"), workload.deployment().zones().get(0), role);
    return new SimulatedEngine(description, context, listener);
  }

  private SimulatedRequest request(int promptTokens, int outputTokens) {
    TrafficClass traffic = workload.classes().get(0);
    TimedRequest timed =
        new TimedRequest(
            nextIndex++,
            0,
            traffic,
            traffic.tenants().get(0),
            workload.deployment().models().get(0),
            0,
            promptTokens,
            outputTokens);
    return new SimulatedRequest(timed, END);
  }
}
