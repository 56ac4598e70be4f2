package org.fallturn.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.request.ForwardStateMachine.GiveUp;
import org.fallturn.core.request.ForwardStateMachine.TryAnother;
import org.junit.jupiter.api.Test;

/**
 * Runs the state machine against random sequences of back end failures. Guards against a
 * non-repeatable request that is sent again after a back end may have run it, and against an error
 * that says not-run although a back end may have seen the request.
 */
class ForwardStateMachineTest {

  private static final int MAX_ATTEMPTS = 4;

  @Property(tries = 1000, seed = "20240607")
  void nothingIsResentAfterItMayHaveRunAndNotRunIsTrue(
      @ForAll boolean repeatable, @ForAll @Size(min = 1, max = 6) List<AttemptFailure.Kind> kinds) {
    ForwardStateMachine machine = new ForwardStateMachine(repeatable, MAX_ATTEMPTS);
    boolean mayHaveRun = false;
    int sends = 1;
    for (AttemptFailure.Kind kind : kinds) {
      mayHaveRun |= kind.mayHaveRun();
      var decision = machine.onFailure(new AttemptFailure(kind, "scripted"));
      if (decision instanceof GiveUp giveUp) {
        assertThat(giveUp.kind().outcome() == Outcome.NOT_RUN && mayHaveRun).isFalse();
        return;
      }
      assertThat(decision).isInstanceOf(TryAnother.class);
      assertThat(mayHaveRun && !repeatable).isFalse();
      sends++;
      assertThat(sends).isLessThanOrEqualTo(MAX_ATTEMPTS);
    }
    boolean saysNotRun = machine.onNoBackEnd().kind().outcome() == Outcome.NOT_RUN;
    assertThat(saysNotRun).isEqualTo(!mayHaveRun);
  }

  @Test
  void aDeadlineThatPassesWhileABackEndWorksHasAnUnknownOutcome() {
    ForwardStateMachine machine = new ForwardStateMachine(true, MAX_ATTEMPTS);
    assertThat(machine.onDeadline(false).kind().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(machine.onDeadline(true).kind().outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }
}
