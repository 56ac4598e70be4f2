package org.fallturn.rehearsal.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class EngineCostModelTest {

  private final EngineCosts costs = new EngineCosts(100, 10, 1000, 10, 5, 100, 8, 1e6, 50, 2000);
  private final EngineCostModel model = new EngineCostModel(costs);

  @Test
  void stepAddsUpItsParts() {
    assertThat(model.stepNanos(new StepWork(20, 4, 50)))
        .isEqualTo(1_000_000 + 200_000 + 20_000 + 5_000);
  }

  @Test
  void longPromptTakesSeveralSteps() {
    assertThat(model.prefillNanos(250)).isEqualTo(3 * 1_000_000 + 250 * 10_000);
  }

  @Test
  void largerBatchGeneratesMoreTokensASecond() {
    assertThat(model.decodeTokensPerSecond(10, 20))
        .isGreaterThan(model.decodeTokensPerSecond(1, 20));
  }

  @Test
  void transferTimeIsLatencyPlusSizeOverBandwidth() {
    assertThat(model.kvTransferNanos(model.kvBytes(125))).isEqualTo(50_000 + 1_000_000);
  }

  @Test
  void batchAboveTheTokenBudgetIsRefused() {
    assertThatThrownBy(() -> new EngineCosts(10, 11, 1, 1, 1, 1, 1, 1, 1, 1))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("maxRunning");
  }
}
