package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalInt;
import org.fallturn.core.routing.EngineStage;
import org.junit.jupiter.api.Test;

/**
 * Checks what a node reports of its part of the retry budget for each repeat. When a fleet repeated
 * more than it was allowed to, no line told by which figures its nodes had granted themselves their
 * parts.
 */
class RetryBudgetUseTest {

  private static RetryBudgetUse useAfterLostRun(double slack) {
    Dispatcher dispatcher =
        Requests.dispatcher(
            slack,
            Requests.engine("e-1", Requests.MODEL, EngineStage.DECODE),
            Requests.engine("e-2", Requests.MODEL, EngineStage.DECODE));
    dispatcher.setNodeCount(OptionalInt.of(10), true);
    dispatcher.ownBudgets(Requests.START - Duration.ofSeconds(5).toNanos());
    RequestProgress progress = Requests.prompt(true, 100, 3_000);
    dispatcher.start(progress, Requests.START);
    dispatcher.onFailure(progress, AttemptOutcome.LOST, Requests.START);
    RetryBudgetUse use = progress.takeBudgetUse().orElseThrow();
    assertThat(progress.takeBudgetUse()).isEmpty();
    return use;
  }

  @Test
  void usesAreReportedWithTheFiguresThatDecidedThem() {
    RetryBudgetUse granted = useAfterLostRun(100);
    assertThat(granted.granted()).isTrue();
    assertThat(granted.budget().used()).isZero();
    assertThat(granted.budget().nodes()).isEqualTo(10);
    assertThat(granted.budget().sharing()).isFalse();
    // After half a window: a tenth of half of three tenths of the slack, and a fifth of the ratio.
    assertThat(granted.budget().reserve()).isBetween(1.539, 1.541);
    assertThat(useAfterLostRun(0).granted()).isFalse();
  }
}
