package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fallturn.core.quarantine.QuarantineStatus;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/**
 * Guards against a further copy of a content that crashes engines being sent while one runs: its
 * caller came again with the same id, and the end of one request counted as that of both.
 */
class SameIdInFlightTest {

  private static final int NUMBER = 7;
  private static final String CONTENT = "culprit";
  private static final List<String> CRASHED = List.of("gone-1", "gone-2");

  private final ServingEngine[] engines = {
    Requests.engine("e-1", Requests.MODEL, EngineStage.DECODE),
    Requests.engine("e-2", Requests.MODEL, EngineStage.DECODE)
  };
  private final Dispatcher dispatcher = Requests.dispatcher(engines);

  private static RequestProgress request() {
    Requests.numberFrom(NUMBER);
    return Requests.streamOf(CONTENT, Requests.START);
  }

  private void crashEngines(RequestProgress request) {
    for (String engine : CRASHED) {
      dispatcher.quarantine().onCrash(request.content(), engine, Requests.START);
      dispatcher.quarantine().onEngineGone(engine, Requests.START);
    }
  }

  private QuarantineStatus status(RequestProgress request) {
    return dispatcher.quarantine().status(request.content(), Requests.START);
  }

  @Test
  void copyIsInFlightThoughAnotherRequestWithItsIdHasEnded() {
    RequestProgress first = request();
    RequestProgress second = request();
    assertThat(second.envelope().requestId()).isEqualTo(first.envelope().requestId());
    assertThat(dispatcher.start(first, Requests.START)).isInstanceOf(Decision.Run.class);
    assertThat(dispatcher.start(second, Requests.START)).isInstanceOf(Decision.Run.class);
    dispatcher.onAbandoned(second, Requests.START);
    crashEngines(first);
    assertThat(status(first)).isEqualTo(QuarantineStatus.QUARANTINED);
    dispatcher.onAbandoned(first, Requests.START);
    assertThat(status(first)).isEqualTo(QuarantineStatus.SUSPECTED);
  }
}
