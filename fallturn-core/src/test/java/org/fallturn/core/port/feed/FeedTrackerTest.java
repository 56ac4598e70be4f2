package org.fallturn.core.port.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FeedTrackerTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final FeedTracker tracker = new FeedTracker();

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  private static FeedRow row(String key, long version) {
    return new FeedRow(key, at(version), "value-" + version, false);
  }

  private static FeedRow gone(String key, long version) {
    return new FeedRow(key, at(version), "", true);
  }

  private static FeedAnswer answer(long version, FeedRow... rows) {
    return new FeedAnswer(List.of(rows), at(version));
  }

  @Test
  void readsWholeFirstAndThenFollows() {
    assertThat(tracker.shouldReadWhole(0)).isTrue();
    assertThat(tracker.onWhole(answer(5, row("a", 3)), 0)).isTrue();
    assertThat(tracker.shouldReadWhole(SECOND)).isFalse();
    assertThat(tracker.onChanges(answer(7, row("b", 6), gone("a", 7)), 0)).isTrue();
    assertThat(tracker.rows()).containsExactly(row("b", 6));
    assertThat(tracker.position()).isEqualTo(at(7));
  }

  /** Guards against an engine that served meanwhile and of which nobody hears. */
  @Test
  void rowThatCameAndWentIsAChangeThoughItIsNoLongerThere() {
    tracker.onWhole(answer(5, row("a", 3)), 0);
    tracker.onChanges(answer(6, gone("a", 6)), 0);
    assertThat(tracker.takeMissedRows()).isFalse();
    assertThat(tracker.onChanges(answer(8, row("b", 7), gone("b", 8)), 0)).isTrue();
    assertThat(tracker.takeMissedRows()).isTrue();
    assertThat(tracker.takeMissedRows()).isFalse();
    assertThat(tracker.onChanges(answer(9, gone("c", 9)), 0)).isTrue();
    assertThat(tracker.takeMissedRows()).isTrue();
    assertThat(tracker.onChanges(answer(9, gone("c", 9)), 0)).isFalse();
  }

  @Test
  void readingOlderThanWhatIsKnownChangesNothing() {
    tracker.onWhole(answer(9, row("a", 9)), 0);
    assertThat(tracker.onWhole(answer(8, row("a", 2)), 1)).isFalse();
    assertThat(tracker.rows()).containsExactly(row("a", 9));
    assertThat(tracker.position()).isEqualTo(at(9));
  }

  @Test
  void changeOlderThanTheRowIsDropped() {
    tracker.onWhole(answer(9, row("a", 9)), 0);
    assertThat(tracker.onChanges(answer(9, row("a", 4)), 0)).isFalse();
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
    assertThat(tracker.newestChange()).isEqualTo(at(4));
    tracker.onWhole(answer(12, row("a", 3)), 1);
    assertThat(tracker.newestChange()).isEqualTo(at(12));
  }

  private static FeedRow restored(String key, long version) {
    return new FeedRow(key, new StorePosition(2, version), "value-" + version, false);
  }

  private static FeedAnswer restoredAnswer(long version, FeedRow... rows) {
    return new FeedAnswer(List.of(rows), new StorePosition(2, version));
  }

  /** A reading with a lower version was passed over until the store's counter had caught up. */
  @Test
  void readingOfALaterEraCountsWhateverItsVersion() {
    tracker.onWhole(answer(500, row("a", 500)), 0);
    assertThat(tracker.onWhole(restoredAnswer(450, restored("a", 430)), 1)).isTrue();
    assertThat(tracker.rows()).containsExactly(restored("a", 430));
    assertThat(tracker.position()).isEqualTo(new StorePosition(2, 450));
    assertThat(tracker.newestChange()).isEqualTo(new StorePosition(2, 430));
    assertThat(tracker.onChanges(restoredAnswer(460, restored("a", 460)), 2)).isTrue();
  }

  @Test
  void sameVersionOfALaterEraIsAChange() {
    tracker.onWhole(answer(9, row("a", 9)), 0);
    FeedRow other = new FeedRow("a", new StorePosition(2, 9), "another value", false);
    assertThat(tracker.onWhole(restoredAnswer(9, other), 1)).isTrue();
    assertThat(tracker.rows()).containsExactly(other);
  }

  @Test
  void answerOfAnEarlierEraThatArrivesLateChangesNothing() {
    tracker.onWhole(restoredAnswer(9, restored("a", 9)), 0);
    assertThat(tracker.onWhole(answer(500, row("a", 500)), 1)).isFalse();
    assertThat(tracker.onChanges(answer(500, row("a", 500)), 2)).isFalse();
    assertThat(tracker.rows()).containsExactly(restored("a", 9));
  }

  /** An engine that registered after the copy was made is not out of service for that. */
  @Test
  void rowThatTheCopyLacksStaysUntilItCouldBeWrittenAgain() {
    tracker.onWhole(answer(9, row("a", 8), row("b", 9)), 0);
    tracker.onWhole(restoredAnswer(8, restored("a", 8)), SECOND);
    assertThat(tracker.rows()).containsExactlyInAnyOrder(restored("a", 8), row("b", 9));
    assertThat(tracker.storedRows()).containsExactly(restored("a", 8));
    assertThat(tracker.expireCorrections(2 * SECOND)).isFalse();
    assertThat(tracker.untilExpiryNanos(2 * SECOND, 30 * SECOND)).isEqualTo(SECOND / 2);
    assertThat(tracker.expireCorrections(5 * SECOND / 2)).isTrue();
    assertThat(tracker.rows()).containsExactly(restored("a", 8));
    assertThat(tracker.untilExpiryNanos(3 * SECOND, 30 * SECOND)).isEqualTo(30 * SECOND);
  }

  /** The store drops the rows of all engines, which could not renew them while it was away. */
  @Test
  void rowThatGoesRightAfterTheRestoreStaysUntilItCouldBeWrittenAgain() {
    tracker.onWhole(answer(9, row("a", 8)), 0);
    tracker.onWhole(restoredAnswer(8, restored("a", 8)), SECOND);
    FeedRow gone = new FeedRow("a", new StorePosition(2, 9), "", true);
    assertThat(tracker.onChanges(restoredAnswer(9, gone), SECOND + 1)).isTrue();
    assertThat(tracker.rows()).containsExactly(restored("a", 8));
    assertThat(tracker.storedRows()).isEmpty();
    tracker.onWhole(restoredAnswer(10), SECOND + 2);
    assertThat(tracker.rows()).containsExactly(restored("a", 8));
    assertThat(tracker.expireCorrections(5 * SECOND / 2)).isTrue();
    assertThat(tracker.rows()).isEmpty();
    tracker.onChanges(restoredAnswer(11, restored("a", 11)), 3 * SECOND);
    FeedRow goneLater = new FeedRow("a", new StorePosition(2, 12), "", true);
    tracker.onChanges(restoredAnswer(12, goneLater), 3 * SECOND + 1);
    assertThat(tracker.rows()).isEmpty();
  }

  @Test
  void rowThatIsWrittenAgainReplacesTheOneThatStayed() {
    tracker.onWhole(answer(9, row("a", 8), row("b", 9)), 0);
    tracker.onWhole(restoredAnswer(8, restored("a", 8)), 1);
    tracker.onChanges(restoredAnswer(9, restored("b", 9)), 2);
    assertThat(tracker.rows()).containsExactlyInAnyOrder(restored("a", 8), restored("b", 9));
    assertThat(tracker.expireCorrections(5 * SECOND)).isFalse();
  }

  /** An engine that has left would get requests again, since the copy still lists it. */
  @Test
  void rowThatWasRemovedBeforeTheRestoreStaysAway() {
    tracker.onWhole(answer(9, row("a", 8), row("b", 9)), 0);
    tracker.onChanges(answer(10, gone("b", 10)), 1);
    tracker.onWhole(restoredAnswer(9, restored("a", 8), restored("b", 9)), 2);
    assertThat(tracker.rows()).containsExactly(restored("a", 8));
    tracker.onWhole(restoredAnswer(11, restored("a", 8), restored("b", 9)), 3);
    assertThat(tracker.rows()).containsExactly(restored("a", 8));
    tracker.onChanges(restoredAnswer(12, restored("b", 12)), 4);
    assertThat(tracker.rows()).containsExactlyInAnyOrder(restored("a", 8), restored("b", 12));
  }

  @Test
  void rowThatTheStoreGoesOnListingComesBackInTheEnd() {
    tracker.onWhole(answer(9, row("b", 9)), 0);
    tracker.onChanges(answer(10, gone("b", 10)), 1);
    tracker.onWhole(restoredAnswer(9, restored("b", 9)), 2);
    assertThat(tracker.rows()).isEmpty();
    assertThat(tracker.expireCorrections(5 * SECOND)).isTrue();
    assertThat(tracker.rows()).containsExactly(restored("b", 9));
  }
}
