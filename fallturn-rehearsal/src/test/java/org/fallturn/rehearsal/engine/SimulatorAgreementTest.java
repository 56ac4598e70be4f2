package org.fallturn.rehearsal.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.RequestId;
import org.fallturn.rehearsal.simulator.SimulatedTimes;
import org.fallturn.rehearsal.workload.ArrivalGenerator;
import org.fallturn.rehearsal.workload.MixFeedback;
import org.fallturn.rehearsal.workload.TimedRequest;
import org.fallturn.rehearsal.workload.Workload;
import org.fallturn.rehearsal.workload.WorkloadFile;
import org.junit.jupiter.api.Test;

/** The batching of the engine stand-in, step by step, beside the simulator's coarse events. */
class SimulatorAgreementTest {
  private static final int REQUESTS = 150;
  private static final int SPREAD = 8;
  private static final double MEAN_TOLERANCE = 0.03;
  private static final double WORST_TOLERANCE = 0.10;

  private final EngineCostModel costs = new EngineCostModel(EngineCosts.DEFAULT);

  @Test
  void theSimulatorTakesTheTimeOfTheStandIn() throws Exception {
    Workload workload = WorkloadFile.builtIn("alava");
    List<TimedRequest> requests = requests(workload);

    List<Long> simulated = SimulatedTimes.complete(workload, requests);
    List<Long> standIn = playOnStandIn(requests);

    double worst = 0;
    double sum = 0;
    for (int index = 0; index < REQUESTS; index++) {
      long arrival = requests.get(index).arrivalNanos();
      double expected = standIn.get(index) - arrival;
      double difference = Math.abs(simulated.get(index) - arrival - expected) / expected;
      worst = Math.max(worst, difference);
      sum += difference;
    }
    assertThat(sum / REQUESTS).isCloseTo(0, within(MEAN_TOLERANCE));
    assertThat(worst).isLessThan(WORST_TOLERANCE);
  }

  /** Every so many requests of the workload, so that one engine is well used and not overrun. */
  private static List<TimedRequest> requests(Workload workload) {
    ArrivalGenerator arrivals =
        new ArrivalGenerator(workload, workload.shift("step").orElseThrow(), 1, MixFeedback.NONE);
    List<TimedRequest> chosen = new ArrayList<>();
    while (chosen.size() < REQUESTS) {
      TimedRequest request = arrivals.next();
      if (request.index() % SPREAD == 0) {
        chosen.add(request);
      }
    }
    return chosen;
  }

  private List<Long> playOnStandIn(List<TimedRequest> requests) {
    BatchScheduler batch = new BatchScheduler(EngineCosts.DEFAULT);
    Map<RequestId, Long> completed = new HashMap<>();
    long now = 0;
    int next = 0;
    while (completed.size() < requests.size()) {
      if (batch.isIdle()) {
        now = Math.max(now, requests.get(next).arrivalNanos());
      }
      while (next < requests.size() && requests.get(next).arrivalNanos() <= now) {
        batch.add(sequence(requests.get(next)));
        next++;
      }
      BatchScheduler.Step step = batch.formStep();
      now += costs.stepNanos(step.work());
      for (Sequence sequence : batch.finishStep(step)) {
        if (sequence.isDone()) {
          completed.put(sequence.requestId(), now);
        }
      }
    }
    return requests.stream().map(request -> completed.get(id(request))).toList();
  }

  private static Sequence sequence(TimedRequest request) {
    return new Sequence(
        id(request),
        request.traffic().urgency(),
        request.index(),
        request.promptTokens(),
        request.promptTokens(),
        0,
        request.outputTokens());
  }

  private static RequestId id(TimedRequest request) {
    return new RequestId("r" + request.index());
  }
}
