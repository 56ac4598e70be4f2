package org.fallturn.rehearsal.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlopeTest {

  @Test
  void lineThroughPointsAndItsFarthestPoint() {
    Slope slope =
        Slope.through(List.of(new Slope.Point(0, 1), new Slope.Point(1, 4), new Slope.Point(2, 5)));
    assertThat(slope.perUnit()).isCloseTo(2, within(1e-9));
    assertThat(slope.atZero()).isCloseTo(4.0 / 3, within(1e-9));
    assertThat(slope.largestResidual()).isCloseTo(2.0 / 3, within(1e-9));
    assertThat(slope.at(10)).isCloseTo(64.0 / 3, within(1e-9));
  }

  @Test
  void oneSizeGivesALevelLine() {
    assertThat(Slope.through(List.of(new Slope.Point(370, 7))).perUnit()).isZero();
  }
}
