package org.fallturn.core.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import org.fallturn.core.waiting.WaitingRequests.Waiting;
import org.junit.jupiter.api.Test;

/**
 * Tests the order of waiting requests and which of them are handed back when the memory bound is
 * exceeded.
 */
class WaitingRequestsTest {

  private static final long WORK = 10;

  private final WaitingRequests<String> waiting = new WaitingRequests<>();

  private static Waiting<String> request(String name, int priority, boolean retried, long target) {
    return new Waiting<>(name, "s", priority, retried, target, 1_000, 0, 100);
  }

  @Test
  void ordersByRankThenByTargetTimeThenByRetryThenByDeadline() {
    waiting.add(request("urgent-late", 0, false, 5), 10_000);
    waiting.add(request("late", 1, false, 5), 10_000);
    waiting.add(request("last", 1, false, 400), 10_000);
    waiting.add(request("first", 1, false, 300), 10_000);
    waiting.add(request("returned", 1, true, 900), 10_000);
    assertThat(waiting.inOrder("s", WORK, 0))
        .extracting(Waiting::request)
        .containsExactly("urgent-late", "returned", "first", "last", "late");
  }

  @Test
  void evictsTheLeastUrgentBeyondTheMemoryBound() {
    waiting.add(request("urgent", 0, false, 400), 250);
    waiting.add(request("returned", 1, true, 400), 250);
    assertThat(waiting.add(request("new", 1, false, 400), 250))
        .extracting(Waiting::request)
        .containsExactly("new");
    assertThat(waiting.add(request("more urgent", 0, false, 400), 250))
        .extracting(Waiting::request)
        .containsExactly("returned");
    assertThat(waiting.bytes()).isEqualTo(200);
    assertThat(waiting.size("s")).isEqualTo(2);
  }
}
