package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/**
 * All engines of a service crash and start again while the store is silent: the directory lists
 * them as they were, and whoever has their addresses rejects what was meant for them. Each request
 * was sent to all of them in vain, 300 times a second in all, before its caller got an error; an
 * engine that had asked for a rest got 256 of them.
 */
class ReplacedEnginesTest {

  private final ServingEngine one = Requests.engine("a-1", Requests.APPLICATION, EngineStage.NONE);
  private final ServingEngine other =
      Requests.engine("a-2", Requests.APPLICATION, EngineStage.NONE);
  private final Dispatcher dispatcher = Requests.dispatcher(one, other);

  private static long after(long millis) {
    return Requests.START + Duration.ofMillis(millis).toNanos();
  }

  private Decision start(long millis) {
    return dispatcher.start(request(millis), after(millis));
  }

  private static RequestProgress request(long millis) {
    return Requests.applicationAt(after(millis), RequestKind.IDEMPOTENT, 3);
  }

  private Decision sendToReplacedEngines(RequestProgress request, long millis) {
    dispatcher.start(request, after(millis));
    dispatcher.onFailure(request, AttemptOutcome.MISDIRECTED, after(millis));
    return dispatcher.onFailure(request, AttemptOutcome.MISDIRECTED, after(millis));
  }

  @Test
  void requestsAreNotSentToReplacedEnginesEvenIfThereAreNoOthers() {
    assertThat(sendToReplacedEngines(request(0), 0)).isInstanceOf(Decision.Refuse.class);
    for (int millis = 10; millis < 4_000; millis += 10) {
      assertThat(start(millis))
          .isInstanceOfSatisfying(
              Decision.Refuse.class,
              refuse -> assertThat(refuse.kind()).isEqualTo(ErrorKind.NO_CAPACITY));
    }
  }

  /** An engine that changes its stage rejects requests too, and takes them again later. */
  @Test
  void oneRequestAtATimeProbesAReplacedEngineAfterItsSuspension() {
    sendToReplacedEngines(request(0), 0);
    RequestProgress probe = request(4_010);
    assertThat(dispatcher.start(probe, after(4_010))).isInstanceOf(Decision.Run.class);
    assertThat(start(4_020)).isInstanceOf(Decision.Run.class);
    assertThat(start(4_030)).isInstanceOf(Decision.Refuse.class);
    dispatcher.onFinished(probe, after(4_050));
    assertThat(start(4_060)).isInstanceOf(Decision.Run.class);
  }

  /** An engine that only fails may serve the next request. */
  @Test
  void suspendedEnginesAreTheLastResort() {
    RequestProgress request = request(0);
    dispatcher.start(request, after(0));
    for (int failed = 0; failed < 6; failed++) {
      RequestProgress next = request(failed);
      dispatcher.start(next, after(failed));
      dispatcher.onFailure(next, AttemptOutcome.LOST, after(failed));
      dispatcher.onFailure(next, AttemptOutcome.LOST, after(failed));
    }
    assertThat(dispatcher.takeHealthChanges(after(10))).hasSize(2);
    assertThat(start(10)).isInstanceOf(Decision.Run.class);
  }
}
