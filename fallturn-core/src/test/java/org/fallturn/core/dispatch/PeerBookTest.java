package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

class PeerBookTest {

  private static NetworkAddress node(int number) {
    return new NetworkAddress("10.0.0." + number, 7660);
  }

  private static long seconds(long count) {
    return TimeUnit.SECONDS.toNanos(count);
  }

  @Test
  void learnsOfOthersFromItsSeeds() {
    PeerBook book = new PeerBook(node(1), List.of(node(1), node(2)));
    assertThat(book.nextTargets(10, 0)).containsExactly(node(2));
    book.onHeard(node(2), List.of(node(1), node(3)), 0);
    assertThat(book.nextTargets(10, 0)).containsExactlyInAnyOrder(node(2), node(3));
  }

  @Test
  void tellsOnOnlyWhomItHeardItself() {
    PeerBook book = new PeerBook(node(1), List.of(node(2)));
    book.onHeard(node(2), List.of(node(3)), 0);
    assertThat(book.heardLately(seconds(1))).containsExactly(node(2));
    assertThat(book.heardLately(seconds(4))).isEmpty();
  }

  @Test
  void countsNodesThatFellSilentForAMinute() {
    PeerBook book = new PeerBook(node(1), List.of());
    book.onHeard(node(2), List.of(), 0);
    book.onHeard(node(3), List.of(), 0);
    assertThat(book.cautiousNodeCount(seconds(50))).hasValue(3);
    assertThat(book.cautiousNodeCount(seconds(61))).hasValue(1);
  }

  @Test
  void countIsNotKnownBeforeAnyOtherNodeWasHeard() {
    PeerBook book = new PeerBook(node(1), List.of(node(2)));
    assertThat(book.cautiousNodeCount(0)).isEmpty();
    book.onHeard(node(2), List.of(), 0);
    assertThat(book.cautiousNodeCount(seconds(1))).hasValue(2);
  }

  @Test
  void countsNodesThatOnlyOthersHave() {
    PeerBook book = new PeerBook(node(1), List.of(node(2)));
    book.onHeard(node(2), List.of(), 0);
    book.onCountTold(40, 0);
    book.onCountTold(12, seconds(1));
    assertThat(book.cautiousNodeCount(seconds(2))).hasValue(40);
    assertThat(book.heardCount(seconds(2))).isEqualTo(2);
    assertThat(book.cautiousNodeCount(seconds(59))).hasValue(40);
    book.onHeard(node(2), List.of(), seconds(59));
    assertThat(book.cautiousNodeCount(seconds(60))).hasValue(2);
  }

  @Test
  void speaksToManyInTurn() {
    PeerBook book = new PeerBook(node(1), List.of());
    for (int peer = 2; peer < 42; peer++) {
      book.onHeard(node(peer), List.of(), 0);
    }
    Set<NetworkAddress> reached = new HashSet<>();
    for (int turn = 0; turn < 4; turn++) {
      List<NetworkAddress> targets = book.nextTargets(10, 0);
      assertThat(targets).hasSize(10);
      reached.addAll(targets);
    }
    assertThat(reached).hasSize(40);
  }
}
