package org.fallturn.core.disconnect;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a run that counts as over by a report that is older than its end. */
class OrphanedRunsTest {

  private static final long AGE = OrphanedRuns.MAX_REPORT_AGE.toNanos();
  private static final long SENT = Duration.ofSeconds(5).toNanos();
  private static final long ENDED = SENT + Duration.ofMillis(200).toNanos();
  private static final long LEFT = Duration.ofSeconds(2).toNanos();
  private static final EngineWork IDLE = new EngineWork(Set.of("other"), 0);
  private static final EngineWork BUSY = new EngineWork(Set.of("other"), 1);
  private static final EngineWork RUNS_IT = new EngineWork(Set.of("other", "lost"), 0);

  private final OrphanedRuns runs = new OrphanedRuns();
  private final OrphanedRun run = run(DisconnectCause.GIVEN_UP);

  private static OrphanedRun run(DisconnectCause cause) {
    return new OrphanedRun("e-1", "lost", SENT, ENDED, ENDED + LEFT, cause);
  }

  private DisconnectHandling handling() {
    return runs.handlingOf("e-1");
  }

  @Test
  void reportThatMayBeOlderThanTheSendShowsNothing() {
    assertThat(runs.onReport(run, IDLE, SENT + AGE - 1)).isEqualTo(RunEvidence.TOO_EARLY);
    assertThat(runs.onReport(run, IDLE, SENT + AGE)).isEqualTo(RunEvidence.OVER);
    assertThat(handling()).isEqualTo(DisconnectHandling.UNKNOWN);
  }

  @Test
  void runThatIsNoLongerNamedIsOver() {
    assertThat(runs.onReport(run, RUNS_IT, ENDED + 1)).isEqualTo(RunEvidence.TOO_EARLY);
    assertThat(runs.onReport(run, BUSY, ENDED + 2)).isEqualTo(RunEvidence.OVER);
  }

  @Test
  void runThatIsNamedLongAfterItsEndIsWorkedOn() {
    assertThat(runs.onReport(run, RUNS_IT, ENDED + AGE - 1)).isEqualTo(RunEvidence.TOO_EARLY);
    assertThat(runs.onReport(run, RUNS_IT, ENDED + AGE)).isEqualTo(RunEvidence.WORKED_ON);
    assertThat(handling()).isEqualTo(DisconnectHandling.WORKS_ON);
  }

  /** The engine may finish a run just when the next report is made. */
  @Test
  void engineThatWorkedOnOnceIsNeverTakenForOneThatCancels() {
    runs.onReport(run, RUNS_IT, ENDED + AGE);
    assertThat(runs.onReport(run, IDLE, ENDED + AGE + 1)).isEqualTo(RunEvidence.OVER);
    assertThat(handling()).isEqualTo(DisconnectHandling.WORKS_ON);
  }

  /** Half of the time left is kept for another engine. */
  @Test
  void requestMayBeAmongThoseThatAreNotNamed() {
    long wait = LEFT / 2;
    assertThat(runs.onReport(run, BUSY, ENDED + wait - 1)).isEqualTo(RunEvidence.TOO_EARLY);
    assertThat(runs.onReport(run, BUSY, ENDED + wait)).isEqualTo(RunEvidence.NOT_NAMED);
    assertThat(handling()).isEqualTo(DisconnectHandling.UNKNOWN);
  }

  private void seeCancelledRun() {
    OrphanedRun one = run(DisconnectCause.GIVEN_UP);
    runs.onReport(one, RUNS_IT, ENDED);
    runs.onReport(one, IDLE, ENDED + 1);
  }

  /** A run that ends by itself just after its connection looks like a cancelled one. */
  @Test
  void engineIsTrustedOnceItHasCancelledSeveralRuns() {
    seeCancelledRun();
    seeCancelledRun();
    assertThat(handling()).isEqualTo(DisconnectHandling.UNKNOWN);
    seeCancelledRun();
    assertThat(handling()).isEqualTo(DisconnectHandling.CANCELS);
  }

  @ParameterizedTest
  @EnumSource(DisconnectCause.class)
  void engineThatWorkedOnIsAlwaysAsked(DisconnectCause cause) {
    runs.onReport(run, RUNS_IT, ENDED + AGE);
    assertThat(runs.mayGoOnUnasked(run(cause))).isFalse();
  }

  @ParameterizedTest
  @EnumSource(DisconnectCause.class)
  void engineThatCancelsIsNotAsked(DisconnectCause cause) {
    seeCancelledRun();
    seeCancelledRun();
    seeCancelledRun();
    assertThat(runs.mayGoOnUnasked(run(cause))).isTrue();
  }

  @ParameterizedTest
  @EnumSource(DisconnectCause.class)
  void engineThatIsNotKnownIsAskedUnlessItEndedTheConnection(DisconnectCause cause) {
    assertThat(runs.mayGoOnUnasked(run(cause))).isEqualTo(cause == DisconnectCause.LOST);
  }
}
