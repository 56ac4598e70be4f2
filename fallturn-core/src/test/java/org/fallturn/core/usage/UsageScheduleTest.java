package org.fallturn.core.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against windows that are reported before all nodes' counts have arrived, reported twice,
 * lost when a process restarts, or reported when overdue, which is worth nothing and risks a second
 * report.
 */
class UsageScheduleTest {

  private static final UsageWindows WINDOWS =
      new UsageWindows(Duration.ofSeconds(5), Duration.ofSeconds(10));
  private static final long START = 1_790_000_001_000L;
  private static final long FIRST = WINDOWS.at(START);

  @Test
  void aWindowIsReportedSomeTimeAfterItsEndAndOnlyOnce() {
    UsageSchedule schedule = new UsageSchedule(WINDOWS, true, START);
    long end = WINDOWS.endMillis(FIRST);
    assertThat(schedule.due(end + 1_000)).isEmpty();
    assertThat(schedule.due(end + 3_000)).hasValue(FIRST);
    assertThat(schedule.due(end + 4_000)).hasValue(FIRST);
    schedule.onDone(FIRST);
    assertThat(schedule.due(end + 4_000)).isEmpty();
    assertThat(schedule.due(end + 8_000)).hasValue(FIRST + 1);
  }

  @Test
  void aRestartedProcessBeginsWithTheWindowsThatMayStillBeReported() {
    UsageSchedule schedule = new UsageSchedule(WINDOWS, false, START);
    long window = schedule.due(START).orElseThrow();
    assertThat(WINDOWS.dueMillis(window) + WINDOWS.length().toMillis()).isGreaterThan(START);
    assertThat(window).isLessThan(FIRST);
  }

  @Test
  void aWindowThatIsOverdueIsSkipped() {
    UsageSchedule schedule = new UsageSchedule(WINDOWS, true, START);
    long due = WINDOWS.dueMillis(FIRST);
    assertThat(schedule.due(due - 1)).hasValue(FIRST);
    assertThat(schedule.due(due)).hasValue(FIRST + 1);
  }

  @Test
  void aRestartedProcessBeginsWithNoWindowThatIsOverdue() {
    UsageSchedule schedule = new UsageSchedule(WINDOWS, false, START);
    assertThat(WINDOWS.dueMillis(schedule.due(START).orElseThrow())).isGreaterThan(START);
  }

  @Test
  void aWindowThatIsDueBeforeItsCountsSettleIsReportedAllTheSame() {
    UsageWindows strict = new UsageWindows(WINDOWS.length(), Duration.ofSeconds(1));
    UsageSchedule schedule = new UsageSchedule(strict, true, START);
    assertThat(schedule.due(strict.settledMillis(FIRST))).hasValue(FIRST);
  }

  @Test
  void aWindowThatIsLongOverdueIsSkipped() {
    UsageSchedule schedule = new UsageSchedule(WINDOWS, true, START);
    long later = WINDOWS.dueMillis(FIRST) + 60_000;
    assertThat(schedule.due(later).orElseThrow()).isGreaterThan(FIRST + 9);
  }
}
