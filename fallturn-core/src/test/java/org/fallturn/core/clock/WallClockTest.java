package org.fallturn.core.clock;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class WallClockTest {

  private static final long NOON = 1_790_000_000_000L;

  private long steadyMillis = 700;
  private long stepMillis;
  private final WallClock clock =
      new WallClock(
          () -> TimeUnit.MILLISECONDS.toNanos(steadyMillis),
          () -> NOON + steadyMillis + stepMillis);

  private long after(long millis) {
    long time = 0;
    for (long passed = 0; passed < millis; passed += 100) {
      steadyMillis += 100;
      time = clock.unixMillis();
    }
    return time;
  }

  @Test
  void aStepThatIsTakenBackDoesNotCount() {
    stepMillis = 2_000;
    assertThat(after(5_000)).isEqualTo(NOON + steadyMillis);
    stepMillis = 0;
    assertThat(after(20_000)).isEqualTo(NOON + steadyMillis);
  }

  @Test
  void aStepThatStaysCountsAfterAWhile() {
    stepMillis = -3_000;
    assertThat(after(7_900)).isEqualTo(NOON + steadyMillis);
    assertThat(after(500)).isEqualTo(NOON + steadyMillis - 3_000);
  }

  @Test
  void smallDifferencesCountAtOnce() {
    stepMillis = 30;
    assertThat(after(100)).isEqualTo(NOON + steadyMillis + 30);
  }
}
