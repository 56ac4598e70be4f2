package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stop that takes requests, or lets them run, up to the end of the process. */
class StopTimesTest {

  private static final long BEGIN = Long.MAX_VALUE - 1_000;

  @ParameterizedTest
  @CsvSource({"2900, 7300", "1000, 2300", "2900, 1300", "60000, 1300", "10, 20", "400, 4300"})
  void requestsEndBeforeTheProcessDoesAndAfterTheLastIsTaken(long linger, long within) {
    StopTimes times = StopTimes.of(BEGIN, Duration.ofMillis(linger), Duration.ofMillis(within));
    assertThat(times.lingerEnd() - BEGIN).isPositive();
    assertThat(times.answersEnd() - times.lingerEnd()).isNotNegative();
    assertThat(times.processEnd() - times.answersEnd()).isPositive();
    assertThat(times.answersEnd() - times.repeatableForwardedEnd()).isNotNegative();
    assertThat(times.repeatableForwardedEnd() - BEGIN).isNotNegative();
    assertThat(times.over(BEGIN)).isFalse();
    assertThat(times.over(times.processEnd())).isTrue();
  }
}
