package org.fallturn.node.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

/**
 * Guards against a policy that floods the log by restarting a duty without pauses, that ends a duty
 * for a single bad input, or that keeps a duty running whose state or process is broken.
 */
class FaultPolicyTest {

  private static final Error ERROR = new NoClassDefFoundError("a/B");

  private final FaultPolicy restartable = new FaultPolicy(DutyState.LEARNED_AGAIN);
  private final FaultPolicy soleHolder = new FaultPolicy(DutyState.HELD_ALONE);

  @Test
  void pausesDoubleUpToABound() {
    assertThat(restartable.onFault(ERROR, 0).pauseNanos()).isEqualTo(FaultPolicy.FIRST_PAUSE_NANOS);
    assertThat(restartable.onFault(ERROR, 1).pauseNanos())
        .isEqualTo(2 * FaultPolicy.FIRST_PAUSE_NANOS);
    FaultDecision last = restartable.onFault(ERROR, 2);
    for (int more = 0; more < 100; more++) {
      last = restartable.onFault(new IllegalStateException(), 3);
    }
    assertThat(last).isEqualTo(new FaultDecision(true, FaultPolicy.MAX_PAUSE_NANOS));
  }

  @Test
  void errorsInOneSeriesEndTheDutyBeyondABound() {
    for (int count = 0; count < FaultPolicy.MAX_ERRORS_IN_SERIES; count++) {
      assertThat(restartable.onFault(ERROR, count).goesOn()).isTrue();
    }
    assertThat(restartable.onFault(ERROR, 100)).isEqualTo(FaultDecision.END);
  }

  @Test
  void faultAfterAQuietTimeStartsANewSeries() {
    for (int count = 0; count < FaultPolicy.MAX_ERRORS_IN_SERIES; count++) {
      restartable.onFault(ERROR, 0);
    }
    FaultDecision decision = restartable.onFault(ERROR, FaultPolicy.FAULT_SERIES_GAP_NANOS + 1);
    assertThat(decision).isEqualTo(new FaultDecision(true, FaultPolicy.FIRST_PAUSE_NANOS));
  }

  @Test
  void exceptionEndsNoDuty() {
    for (int count = 0; count < 1_000; count++) {
      assertThat(soleHolder.onFault(new IllegalStateException(), count).goesOn()).isTrue();
    }
  }

  @Test
  void errorEndsADutyThatAloneHoldsItsState() {
    assertThat(soleHolder.onFault(ERROR, 0)).isEqualTo(FaultDecision.END);
  }

  @Test
  void outOfMemoryEndsAnyDutyAlsoWhenItIsTheCause() {
    Throwable wrapped = new IllegalStateException(new ExecutionException(new OutOfMemoryError()));
    assertThat(restartable.onFault(wrapped, 0)).isEqualTo(FaultDecision.END);
  }

  @Test
  void ticksThatAllFailEndADutyThatAloneHoldsItsState() {
    RuntimeException fault = new IllegalStateException();
    long late = FaultPolicy.MAX_TICK_FAILURE_NANOS + 1;
    assertThat(soleHolder.onTickFault(fault, 0).goesOn()).isTrue();
    soleHolder.onTickSuccess();
    assertThat(soleHolder.onTickFault(fault, late).goesOn()).isTrue();
    assertThat(soleHolder.onTickFault(fault, 2 * late)).isEqualTo(FaultDecision.END);
  }
}
