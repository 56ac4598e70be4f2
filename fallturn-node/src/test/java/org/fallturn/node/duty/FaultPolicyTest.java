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
    FaultAnswer last = again.onFault(ERROR, 2);
    for (int more = 0; more < 100; more++) {
      last = again.onFault(new IllegalStateException(), 3);
    }
    assertThat(last).isEqualTo(new FaultAnswer(true, FaultPolicy.LONGEST_PAUSE_NANOS));
  }

  @Test
  void errorsInARowEndTheDutyBeyondABound() {
    for (int count = 0; count < FaultPolicy.MAX_ERRORS_IN_A_ROW; count++) {
      assertThat(again.onFault(ERROR, count).goesOn()).isTrue();
    }
    assertThat(again.onFault(ERROR, 100)).isEqualTo(FaultAnswer.END);
  }

  @Test
  void faultAfterAQuietTimeBeginsANewRow() {
    for (int count = 0; count < FaultPolicy.MAX_ERRORS_IN_A_ROW; count++) {
      again.onFault(ERROR, 0);
    }
    FaultAnswer answer = again.onFault(ERROR, FaultPolicy.ROW_NANOS + 1);
    assertThat(answer).isEqualTo(new FaultAnswer(true, FaultPolicy.FIRST_PAUSE_NANOS));
  }

  @Test
  void exceptionEndsNoDuty() {
    for (int count = 0; count < 1_000; count++) {
      assertThat(alone.onFault(new IllegalStateException(), count).goesOn()).isTrue();
    }
  }

  @Test
  void errorEndsADutyThatAloneHoldsItsState() {
    assertThat(alone.onFault(ERROR, 0)).isEqualTo(FaultAnswer.END);
  }

  @Test
  void wantOfMemoryEndsAnyDutyAlsoWhenItIsTheCause() {
    Throwable wrapped = new IllegalStateException(new ExecutionException(new OutOfMemoryError()));
    assertThat(again.onFault(wrapped, 0)).isEqualTo(FaultAnswer.END);
  }

  @Test
  void ticksThatAllFailEndADutyThatAloneHoldsItsState() {
    RuntimeException fault = new IllegalStateException();
    long late = FaultPolicy.LONGEST_WITHOUT_TICK_NANOS + 1;
    assertThat(alone.onTickFault(fault, 0).goesOn()).isTrue();
    alone.onTickDone();
    assertThat(alone.onTickFault(fault, late).goesOn()).isTrue();
    assertThat(alone.onTickFault(fault, 2 * late)).isEqualTo(FaultAnswer.END);
  }
}
