package org.fallturn.rehearsal.workload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ArrivalGeneratorTest {
  private static final double NANOS_PER_SECOND = 1e9;

  @Test
  void equalSeedsGiveEqualRequests() throws Exception {
    assertThat(requests("alava", "step", 7, MixFeedback.NONE))
        .isEqualTo(requests("alava", "step", 7, MixFeedback.NONE))
        .isNotEqualTo(requests("alava", "step", 8, MixFeedback.NONE));
  }

  @Test
  void arrivalsAreInOrderAndStayWithinTheRun() throws Exception {
    List<TimedRequest> requests = requests("guatemala", "flapping", 3, MixFeedback.NONE);

    assertThat(requests)
        .isSortedAccordingTo((a, b) -> Long.compare(a.arrivalNanos(), b.arrivalNanos()));
    assertThat(requests.get(requests.size() - 1).arrivalNanos() / NANOS_PER_SECOND).isLessThan(300);
  }

  @Test
  void rateAndLengthsFollowTheMix() throws Exception {
    Workload workload = WorkloadFile.builtIn("alava");
    List<TimedRequest> summaries =
        requests("alava", "step", 5, MixFeedback.NONE).stream()
            .filter(request -> request.arrivalNanos() < 150 * NANOS_PER_SECOND)
            .filter(request -> request.traffic().service().value().equals("history-summary"))
            .toList();
    double mean = summaries.stream().mapToInt(TimedRequest::promptTokens).average().orElseThrow();

    assertThat(summaries.size() / 150.0).isBetween(14 * 0.92 * 0.85, 14 * 1.06 * 1.15);
    assertThat(mean).isCloseTo(workload.classes().get(0).prompt().mean(), within(200.0));
  }

  @Test
  void anAdversaryMovesToTheMixThatTheRolesServeWorse() throws Exception {
    long summariesAgainstDecode = count("history-summary", () -> 0.2);
    long summariesAgainstPrefill = count("history-summary", () -> 0.8);

    assertThat(summariesAgainstDecode).isGreaterThan(2 * summariesAgainstPrefill);
  }

  @Test
  void thePromptTextHasOneWordForEachToken() throws Exception {
    TimedRequest request = requests("alava", "step", 1, MixFeedback.NONE).get(0);

    assertThat(request.promptText().trim().split(" ")).hasSize(request.promptTokens());
  }

  private static long count(String service, MixFeedback feedback) throws Exception {
    return requests("alava", "adversarial", 2, feedback).stream()
        .filter(request -> request.traffic().service().value().equals(service))
        .count();
  }

  private static List<TimedRequest> requests(
      String name, String shift, long seed, MixFeedback feedback) throws Exception {
    Workload workload = WorkloadFile.builtIn(name);
    List<TimedRequest> requests = new ArrayList<>();
    new ArrivalGenerator(workload, workload.shift(shift).orElseThrow(), seed, feedback)
        .forEachRemaining(requests::add);
    return requests;
  }
}
