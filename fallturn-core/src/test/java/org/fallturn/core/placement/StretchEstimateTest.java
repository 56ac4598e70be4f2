package org.fallturn.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.fallturn.core.domain.Urgency;
import org.junit.jupiter.api.Test;

class StretchEstimateTest {
  private final StretchEstimate stretch = new StretchEstimate();

  @Test
  void learnsEachUrgencyByItself() {
    for (int sample = 0; sample < 1000; sample++) {
      stretch.add(Urgency.BATCH, 2, 6, sample);
    }

    assertThat(stretch.factor(Urgency.BATCH, 1000)).isCloseTo(3, within(0.01));
    assertThat(stretch.factor(Urgency.HIGH, 1000)).isEqualTo(1);
  }

  @Test
  void addsAMarginForSpread() {
    for (int sample = 0; sample < 1000; sample++) {
      stretch.add(Urgency.BATCH, 1, sample % 2 == 0 ? 1 : 3, sample);
    }

    assertThat(stretch.factor(Urgency.BATCH, 1000)).isBetween(2.8, 3.2);
  }

  @Test
  void oneWildSampleMovesItLittle() {
    stretch.add(Urgency.NORMAL, 0.001, 1000, 0);

    assertThat(stretch.factor(Urgency.NORMAL, 1000)).isLessThan(3);
  }

  @Test
  void fadesWhileNothingEndsSoThatRefusalsDoNotLastForEver() {
    for (int sample = 0; sample < 1000; sample++) {
      stretch.add(Urgency.BATCH, 1, 9, sample);
    }

    assertThat(stretch.factor(Urgency.BATCH, 200_000_000_000L)).isCloseTo(1, within(0.01));
  }
}
