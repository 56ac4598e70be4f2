package org.fallturn.core.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import org.fallturn.core.waiting.WaitingRequests.Waiting;
import org.junit.jupiter.api.Test;

class WaitingRequestsTest {

  private static final long WORK = 10;

  private final WaitingRequests<String> room = new WaitingRequests<>();

  private static Waiting<String> request(String name, int place, boolean returned, long aim) {
    return new Waiting<>(name, "s", place, returned, aim, 1_000, 0, 100);
  }

  @Test
  void ordersByRankThenByWhatCanBeInTimeThenByWhoHasWaitedThenByDeadline() {
    room.add(request("urgent-late", 0, false, 5), 10_000);
    room.add(request("late", 1, false, 5), 10_000);
    room.add(request("last", 1, false, 400), 10_000);
    room.add(request("first", 1, false, 300), 10_000);
    room.add(request("returned", 1, true, 900), 10_000);
    assertThat(room.inOrder("s", WORK, 0))
        .extracting(Waiting::request)
        .containsExactly("urgent-late", "returned", "first", "last", "late");
  }

  @Test
  void pastItsMemoryTheLeastUrgentGoFirst() {
    room.add(request("urgent", 0, false, 400), 250);
    room.add(request("returned", 1, true, 400), 250);
    assertThat(room.add(request("new", 1, false, 400), 250))
        .extracting(Waiting::request)
        .containsExactly("new");
    assertThat(room.add(request("more urgent", 0, false, 400), 250))
        .extracting(Waiting::request)
        .containsExactly("returned");
    assertThat(room.bytes()).isEqualTo(200);
    assertThat(room.size("s")).isEqualTo(2);
  }
}
