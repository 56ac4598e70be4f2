package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.fallturn.core.quarantine.Quarantine;
import org.fallturn.core.quarantine.QuarantineStatus;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against contents that count as in flight, and are kept with their bodies, for as long as
 * the node runs: their requests waited for room at an engine and were refused without a send.
 */
class EndedWaitTest {

  private static final int WORK_MILLIS = 250;

  /** Requests that the engine is given; see {@link ApplicationQueueTest}. */
  private static final int MAX_REQUESTS = 16;

  private static final long EXPIRED_MILLIS = 4_900;
  private static final List<String> CRASHED = List.of("gone-1", "gone-2");

  private final Dispatcher dispatcher =
      Requests.dispatcher(Requests.engine("a-1", Requests.APPLICATION, EngineStage.NONE));

  private static long after(long millis) {
    return Requests.START + Duration.ofMillis(millis).toNanos();
  }

  @BeforeEach
  void fillEngine() {
    dispatcher.setNodeCount(OptionalInt.empty(), true);
    RequestProgress first = Requests.application(RequestKind.IDEMPOTENT, 2);
    dispatcher.start(first, after(-WORK_MILLIS));
    dispatcher.onFinished(first, Requests.START);
    for (int request = 0; request < MAX_REQUESTS; request++) {
      dispatcher.start(Requests.application(RequestKind.IDEMPOTENT, 2), Requests.START);
    }
  }

  private RequestProgress startWait() {
    RequestProgress waiting = Requests.application(RequestKind.NON_IDEMPOTENT, 1);
    assertThat(dispatcher.start(waiting, after(1))).isInstanceOf(Decision.Wait.class);
    return waiting;
  }

  /** A content that has crashed engines may be sent only while no copy of it is in flight. */
  private void assertNotInFlight(RequestProgress request, long nowNanos) {
    Quarantine quarantine = dispatcher.quarantine();
    for (String engine : CRASHED) {
      quarantine.onCrash(request.content(), engine, nowNanos);
      quarantine.onEngineGone(engine, nowNanos);
    }
    assertThat(quarantine.status(request.content(), nowNanos))
        .isEqualTo(QuarantineStatus.SUSPECTED);
  }

  @Test
  void contentOfAnExpiredWaitIsNotInFlight() {
    RequestProgress waiting = startWait();
    List<EndedWait> ended = dispatcher.takeEndedWaits(after(EXPIRED_MILLIS));
    assertThat(ended.get(0).decision()).isInstanceOf(Decision.Refuse.class);
    assertNotInFlight(waiting, after(EXPIRED_MILLIS));
  }

  @Test
  void contentOfAWaitThatAStopEndsIsNotInFlight() {
    RequestProgress waiting = startWait();
    assertThat(dispatcher.closeWaits().get(0).decision()).isInstanceOf(Decision.Refuse.class);
    assertNotInFlight(waiting, after(2));
  }

  @Test
  void contentThatWaitsIsNotInFlight() {
    assertNotInFlight(startWait(), after(2));
  }
}
