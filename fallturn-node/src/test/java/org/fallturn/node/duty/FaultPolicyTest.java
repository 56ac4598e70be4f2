package org.fallturn.node.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

class FaultPolicyTest {

  private static final Error ERROR = new NoClassDefFoundError("a/B");

  private final FaultPolicy again = new FaultPolicy(DutyState.LEARNED_AGAIN);
  private final FaultPolicy alone = new FaultPolicy(DutyState.HELD_ALONE);

  @Test
  void pausesDoubleUpToABound() {
    assertThat(again.onFault(ERROR, 0).pauseNanos()).isEqualTo(FaultPolicy.FIRST_PAUSE_NANOS);
    assertThat(again.onFault(ERROR, 1).pauseNanos()).isEqualTo(2 * FaultPolicy.FIRST_PAUSE_NANOS);
    FaultDecision last = again.onFault(ERROR, 2);
    for (int more = 0; more < 100; more++) {
      last = again.onFault(new IllegalStateException(), 3);
    }
    assertThat(last).isEqualTo(new FaultDecision(true, FaultPolicy.MAX_PAUSE_NANOS));
  }

  @Test
  void errorsInARowEndTheDutyBeyondABound() {
    for (int count = 0; count < FaultPolicy.MAX_ERRORS_IN_SERIES; count++) {
      assertThat(again.onFault(ERROR, count).goesOn()).isTrue();
    }
    assertThat(again.onFault(ERROR, 100)).isEqualTo(FaultDecision.END);
  }

  @Test
  void faultAfterAQuietTimeBeginsANewRow() {
    for (int count = 0; count < FaultPolicy.MAX_ERRORS_IN_SERIES; count++) {
      again.onFault(ERROR, 0);
    }
    FaultDecision answer = again.onFault(ERROR, FaultPolicy.FAULT_SERIES_GAP_NANOS + 1);
    assertThat(answer).isEqualTo(new FaultDecision(true, FaultPolicy.FIRST_PAUSE_NANOS));
  }

  @Test
  void exceptionEndsNoDuty() {
    for (int count = 0; count < 1_000; count++) {
      assertThat(alone.onFault(new IllegalStateException(), count).goesOn()).isTrue();
    }
  }

  @Test
  void errorEndsADutyThatAloneHoldsItsState() {
    assertThat(alone.onFault(ERROR, 0)).isEqualTo(FaultDecision.END);
  }

  @Test
  void wantOfMemoryEndsAnyDutyAlsoWhenItIsTheCause() {
    Throwable wrapped = new IllegalStateException(new ExecutionException(new OutOfMemoryError()));
    assertThat(again.onFault(wrapped, 0)).isEqualTo(FaultDecision.END);
  }

  @Test
  void ticksThatAllFailEndADutyThatAloneHoldsItsState() {
    RuntimeException fault = new IllegalStateException();
    long late = FaultPolicy.MAX_TICK_FAILURE_NANOS + 1;
    assertThat(alone.onTickFault(fault, 0).goesOn()).isTrue();
    alone.onTickSuccess();
    assertThat(alone.onTickFault(fault, late).goesOn()).isTrue();
    assertThat(alone.onTickFault(fault, 2 * late)).isEqualTo(FaultDecision.END);
  }
}
