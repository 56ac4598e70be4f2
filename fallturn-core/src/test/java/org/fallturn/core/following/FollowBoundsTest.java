package org.fallturn.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a fleet whose nodes together read the store more often than it allows. */
class FollowBoundsTest {

  private final FollowBounds bounds = FollowBounds.of(Duration.ofSeconds(2), Duration.ofSeconds(2));

  private long pauseMillis(int nodes) {
    WatchOrder order = new WatchOrder(0, nodes, nodes == 1, true, List.of());
    return TimeUnit.NANOSECONDS.toMillis(bounds.confirmationPauseNanos(order));
  }

  @Test
  void nodeOfALargerFleetConfirmsLessOften() {
    assertThat(pauseMillis(1)).isEqualTo(50);
    assertThat(pauseMillis(50)).isEqualTo(50);
    assertThat(pauseMillis(120)).isEqualTo(120);
    assertThat(pauseMillis(1_000)).isEqualTo(200);
  }
}
