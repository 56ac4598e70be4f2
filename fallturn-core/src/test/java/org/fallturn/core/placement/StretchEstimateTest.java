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
      stretch.add(Urgency.BATCH, 2, 6);
    }

    assertThat(stretch.factor(Urgency.BATCH)).isCloseTo(3, within(0.01));
    assertThat(stretch.factor(Urgency.HIGH)).isEqualTo(1);
  }

  @Test
  void addsAMarginForSpread() {
    for (int sample = 0; sample < 1000; sample++) {
      stretch.add(Urgency.BATCH, 1, sample % 2 == 0 ? 1 : 3);
    }

    assertThat(stretch.factor(Urgency.BATCH)).isBetween(2.8, 3.2);
  }

  @Test
  void oneWildSampleMovesItLittle() {
    stretch.add(Urgency.NORMAL, 0.001, 1000);

    assertThat(stretch.factor(Urgency.NORMAL)).isLessThan(3);
  }
}
