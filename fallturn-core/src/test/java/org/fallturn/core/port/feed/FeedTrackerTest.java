package org.fallturn.core.port.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FeedTrackerTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final FeedTracker tracker = new FeedTracker();

  private static FeedRow row(String key, long version) {
    return new FeedRow(key, version, "value-" + version, false);
  }

  private static FeedRow gone(String key, long version) {
    return new FeedRow(key, version, "", true);
  }

  private static FeedAnswer answer(long version, FeedRow... rows) {
    return new FeedAnswer(List.of(rows), version);
  }

  @Test
  void readsWholeFirstAndThenFollows() {
    assertThat(tracker.shouldReadWhole(0)).isTrue();
    assertThat(tracker.onWhole(answer(5, row("a", 3)), 0)).isTrue();
    assertThat(tracker.shouldReadWhole(SECOND)).isFalse();
    assertThat(tracker.onChanges(answer(7, row("b", 6), gone("a", 7)))).isTrue();
    assertThat(tracker.rows()).containsExactly(row("b", 6));
    assertThat(tracker.position()).isEqualTo(7);
  }

  @Test
  void readingOlderThanWhatIsKnownChangesNothing() {
    tracker.onWhole(answer(9, row("a", 9)), 0);
    assertThat(tracker.onWhole(answer(8, row("a", 2)), 1)).isFalse();
    assertThat(tracker.rows()).containsExactly(row("a", 9));
    assertThat(tracker.position()).isEqualTo(9);
  }

  @Test
  void changeOlderThanTheRowIsDropped() {
    tracker.onWhole(answer(9, row("a", 9)), 0);
    assertThat(tracker.onChanges(answer(9, row("a", 4)))).isFalse();
    assertThat(tracker.rows()).containsExactly(row("a", 9));
  }

  @Test
  void lostHistoryIsReadWholeAgainWhileReadingsMayLag() {
    tracker.onWhole(answer(9, row("a", 9)), 0);
    tracker.onHistoryLost(0);
    assertThat(tracker.shouldReadWhole(0)).isTrue();
    tracker.onWhole(answer(9, row("a", 9)), 0);
    assertThat(tracker.shouldReadWhole(0)).isFalse();
    assertThat(tracker.waitNanos(0, 5 * SECOND)).isLessThan(SECOND);
    assertThat(tracker.shouldReadWhole(SECOND / 2)).isTrue();
    tracker.onWhole(answer(12, row("a", 11)), SECOND / 2);
    assertThat(tracker.rows()).containsExactly(row("a", 11));
    assertThat(tracker.shouldReadWhole(8 * SECOND)).isTrue();
  }

  @Test
  void isReadWholeNowAndThenThoughNothingSeemsWrong() {
    tracker.onWhole(answer(9), 0);
    assertThat(tracker.shouldReadWhole(11 * SECOND)).isTrue();
  }

  @Test
  void unchangedReadingIsNoChange() {
    tracker.onWhole(answer(9, row("a", 9)), 0);
    assertThat(tracker.onWhole(answer(10, row("a", 9)), 1)).isFalse();
  }

  /** Nodes that ask each other for rows would otherwise never hear that one was dropped. */
  @Test
  void rowThatAWholeReadingLacksIsAChangeThatOthersHearOf() {
    tracker.onWhole(answer(9, row("a", 3), row("b", 4)), 0);
    assertThat(tracker.newestChange()).isEqualTo(4);
    tracker.onWhole(answer(12, row("a", 3)), 1);
    assertThat(tracker.newestChange()).isEqualTo(12);
  }
}
