package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.quarantine.RequestContent;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.routing.WeightedService;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an answer that says "not run" though a send of the request may have become a run.
 */
class NotRunProofTest {

  private static final Duration LONG = Duration.ofMinutes(5);
  private static final ServingEngine ENGINE =
      new ServingEngine(
          "e-1", "app", new NetworkAddress("127.0.0.1", 1), "zone-1", 8, false, EngineStage.NONE);

  private final RequestProgress progress = progress();

  private static RequestProgress progress() {
    Route route =
        new Route(
            "route",
            "host",
            "/",
            RequestKind.IDEMPOTENT,
            false,
            LONG,
            LONG,
            Duration.ZERO,
            LONG,
            0,
            9,
            List.of(new WeightedService("app", 1)));
    return new RequestProgress(
        new RequestEnvelope("r", route, Optional.empty(), 0, LONG.toNanos()),
        new RequestContent("POST host/x", "", new byte[0]));
  }

  private void run(AttemptOutcome outcome) {
    progress.beginRun(ENGINE, PlacementEstimate.NONE, Urgency.IN_TIME, 0);
    fail(outcome);
  }

  private void prefill(AttemptOutcome outcome) {
    progress.beginPrefill(ENGINE, PlacementEstimate.NONE, Urgency.IN_TIME, 0);
    fail(outcome);
  }

  private void fail(AttemptOutcome outcome) {
    boolean before = progress.notRunProofAfter(outcome).isPresent();
    progress.recordFailedSend(outcome);
    progress.endAttempt(outcome.mayHaveRun());
    assertThat(progress.notRunProof().isPresent()).isEqualTo(before);
  }

  @Property
  void proofHoldsExactlyWhileNoSendMayHaveBecomeARun(
      @ForAll @Size(max = 6) List<AttemptOutcome> runs,
      @ForAll @Size(max = 3) List<AttemptOutcome> prefills) {
    NotRunProofTest request = new NotRunProofTest();
    prefills.forEach(request::prefill);
    runs.forEach(request::run);
    boolean possiblyRun = runs.stream().anyMatch(AttemptOutcome::mayHaveRun);
    Optional<NotRunProof> proof = request.progress.notRunProof();
    assertThat(proof.isEmpty()).isEqualTo(possiblyRun);
    proof.ifPresent(
        shown ->
            assertThat(shown.sends())
                .hasSize(runs.size() + prefills.size())
                .allMatch(send -> send.notRunEvidence().isPresent()));
  }

  @ParameterizedTest
  @EnumSource(AttemptOutcome.class)
  void runUnderWayIsProvedNotToBeOneByItsEndAlone(AttemptOutcome outcome) {
    progress.beginRun(ENGINE, PlacementEstimate.NONE, Urgency.IN_TIME, 0);
    assertThat(progress.notRunProof()).isEmpty();
    assertThat(progress.notRunProofAfter(outcome).isPresent()).isEqualTo(!outcome.mayHaveRun());
  }

  @ParameterizedTest
  @EnumSource(ErrorKind.class)
  void answerSaysNotRunExactlyWithProof(ErrorKind kind) {
    boolean saysNotRun = kind.outcome() == Outcome.NOT_RUN;
    NotRunProof proof = progress.notRunProof().orElseThrow();
    if (saysNotRun) {
      assertThat(ErrorAnswer.notRun(kind, proof, Optional.empty()).kind()).isEqualTo(kind);
      assertThatThrownBy(() -> ErrorAnswer.possiblyRun(kind))
          .isInstanceOf(IllegalArgumentException.class)
          .hasMessageContaining(kind.name());
    } else {
      assertThat(ErrorAnswer.possiblyRun(kind).proof()).isEmpty();
      assertThatThrownBy(() -> ErrorAnswer.notRun(kind, proof, Optional.empty()))
          .isInstanceOf(IllegalArgumentException.class);
    }
  }

  @ParameterizedTest
  @EnumSource(ErrorKind.class)
  void statusThatPromisesIsThatOfAKindThatSaysNotRun(ErrorKind kind) {
    List<Integer> promises = Arrays.asList(408, 421, 429, 503);
    if (promises.contains(kind.httpStatus())) {
      assertThat(kind.outcome()).isEqualTo(Outcome.NOT_RUN);
    }
  }
}
