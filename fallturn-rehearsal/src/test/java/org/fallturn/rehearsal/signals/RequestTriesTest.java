package org.fallturn.rehearsal.signals;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fallturn.rehearsal.emulator.EngineProcessMain;
import org.junit.jupiter.api.Test;

/** Guards against a check of refusals that loses sight of a request whose caller comes back. */
class RequestTriesTest {

  private static final String GATEWAY = "gateway-1";
  private static final int REFUSED = 503;
  private static final int SERVED = 200;
  private static final int CONNECTION_ENDED = 0;
  private static final int UNKNOWN = 502;

  private final EngineRuns runs = new EngineRuns();
  private final RequestTries tries = new RequestTries();

  private void ran(String engine, String requestId, int tryNumber) {
    String line =
        EngineProcessMain.runLine(requestId, 1, "127.0.0.1", "3000", Integer.toString(tryNumber));
    runs.read(engine, line.lines().toList(), 2);
  }

  private RequestTries.Try tried(String requestId, int number, boolean once, int status) {
    RequestTries.Try one = new RequestTries.Try(requestId, number, once, GATEWAY, status);
    tries.add(one);
    return one;
  }

  @Test
  void refusalIsTrueWhenALaterTryRuns() {
    tried("r", 1, true, REFUSED);
    tried("r", 2, true, SERVED);
    ran("a", "r", 2);
    assertThat(tries.refusedAndRan(runs)).isEmpty();
    assertThat(tries.ranMoreThanOnce(runs)).isEmpty();
  }

  @Test
  void refusalIsFalseWhenItsOwnTryRan() {
    RequestTries.Try first = tried("r", 1, true, REFUSED);
    tried("r", 2, true, REFUSED);
    ran("a", "r", 1);
    assertThat(tries.refusedAndRan(runs)).containsExactly(first);
  }

  @Test
  void copyThatIsReadAsTheAnswerOfTheNextTryIsFound() {
    tried("r", 1, true, REFUSED);
    RequestTries.Try second = tried("r", 2, true, REFUSED);
    tried("r", 3, true, SERVED);
    ran("a", "r", 2);
    ran("b", "r", 3);
    assertThat(tries.refusedAndRan(runs)).containsExactly(second);
    assertThat(tries.ranMoreThanOnce(runs)).containsExactly("r");
  }

  @Test
  void everyRefusalSaysThatATryDidNotRun() {
    for (int status : List.of(408, 421, 429, REFUSED)) {
      ran("a", "r" + status, 1);
      RequestTries.Try refused = tried("r" + status, 1, false, status);
      assertThat(tries.refusedAndRan(runs)).last().isEqualTo(refused);
    }
    assertThat(tries.refusedAndRan(runs)).hasSize(4);
  }

  @Test
  void otherAnswersSayNothing() {
    for (int status : List.of(SERVED, 400, 404, 500, UNKNOWN, 504, CONNECTION_ENDED)) {
      ran("a", "r" + status, 1);
      tried("r" + status, 1, true, status);
    }
    assertThat(tries.refusedAndRan(runs)).isEmpty();
    assertThat(tries.refused()).isEmpty();
  }

  @Test
  void requestThatMayRunOnceIsCountedOverAllItsTries() {
    tried("once", 1, true, SERVED);
    ran("a", "once", 1);
    ran("b", "once", 1);
    tried("often", 1, false, SERVED);
    ran("a", "often", 1);
    ran("b", "often", 1);
    assertThat(tries.ranMoreThanOnce(runs)).containsExactly("once");
  }

  @Test
  void requestsAreCountedOnceAndReturnsBesideThem() {
    tried("r", 1, true, REFUSED);
    tried("r", 2, true, SERVED);
    tried("s", 1, false, SERVED);
    assertThat(tries.requests()).isEqualTo(2);
    assertThat(tries.onceRequests()).isEqualTo(1);
    assertThat(tries.returns()).isEqualTo(1);
  }
}
