package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.MODEL;
import static org.fallturn.core.dispatch.Requests.START;

import java.time.Duration;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.streams.StreamOrigin;
import org.fallturn.core.streams.StreamTracker;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams with events from engines of two software versions. While a release runs,
 * an engine that breaks off a stream has neighbours of another version, which continue it with
 * events that do not fit.
 */
class StreamVersionTest {

  private final ServingEngine first = decode("d-1", "v1");
  private final ServingEngine second = decode("d-2", "v1");
  private final ServingEngine newer = decode("d-3", "v2");

  private static ServingEngine decode(String id, String version) {
    return Requests.engine(id, MODEL, version, EngineStage.DECODE);
  }

  private static long after(long millis) {
    return START + Duration.ofMillis(millis).toNanos();
  }

  private static String versionOf(Decision decision) {
    return ((Decision.Run) decision).engine().softwareVersion();
  }

  @Test
  void streamThatBreaksOffGoesOnAtItsVersionHoweverBusyThatIs() {
    Dispatcher dispatcher = Requests.dispatcher(first, second, newer);
    for (int number = 0; number < 20; number++) {
      RequestProgress progress = Requests.prompt(true, 0, 300);
      String version = versionOf(dispatcher.start(progress, START));
      dispatcher.onBegan(progress, after(20));
      Decision next = dispatcher.onFailure(progress, AttemptOutcome.BROKEN_MIDWAY, after(30));
      if (next instanceof Decision.Run) {
        assertThat(versionOf(next)).isEqualTo(version);
      }
    }
  }

  @Test
  void streamWhoseVersionHasNoOtherEngineEndsAsOneThatMayHaveRun() {
    Dispatcher dispatcher = Requests.dispatcher(first, newer, decode("d-4", "v3"));
    RequestProgress progress = Requests.prompt(true, 0, 300);
    dispatcher.start(progress, START);
    dispatcher.onBegan(progress, after(20));
    Decision next = dispatcher.onFailure(progress, AttemptOutcome.BROKEN_MIDWAY, after(30));
    assertThat(((Decision.Refuse) next).kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
  }

  /**
   * Guards against an outdated report. A request was reported at the version of an engine that
   * crashed, and moved to another one; its caller came back to a node that had only the first
   * report.
   */
  @Test
  void streamIsReportedOnceAndAtTheVersionOfItsFirstEvent() {
    Dispatcher dispatcher = Requests.dispatcher(first, newer);
    StreamTracker tracker = dispatcher.resumedStreams().tracker();
    RequestProgress progress = Requests.prompt(true, 0, 300);
    dispatcher.start(progress, START);
    assertThat(tracker.takeUnreported(START)).isEmpty();
    Decision next = dispatcher.onFailure(progress, AttemptOutcome.LOST, after(10));
    assertThat(tracker.takeUnreported(after(10))).isEmpty();
    dispatcher.onBegan(progress, after(20));
    assertThat(tracker.takeUnreported(after(20)))
        .extracting(StreamOrigin::softwareVersion)
        .containsExactly(versionOf(next));
  }

  /** Only a stream can be continued; any other answer would be followed by a whole second one. */
  @Test
  void answerThatIsNoStreamIsNotRunAgainOnceItHasBegun() {
    ServingEngine one = Requests.engine("a-1", Requests.APPLICATION, EngineStage.NONE);
    ServingEngine two = Requests.engine("a-2", Requests.APPLICATION, EngineStage.NONE);
    Dispatcher dispatcher = Requests.dispatcher(one, two);
    RequestProgress progress = Requests.application(RequestKind.IDEMPOTENT, 2);
    dispatcher.start(progress, START);
    dispatcher.onBegan(progress, after(20));
    Decision next = dispatcher.onFailure(progress, AttemptOutcome.BROKEN_MIDWAY, after(30));
    assertThat(((Decision.Refuse) next).kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
  }

  @Test
  void requestWithoutAnyEventMayGoToAnotherVersion() {
    Dispatcher dispatcher = Requests.dispatcher(first, newer);
    RequestProgress progress = Requests.prompt(true, 0, 300);
    String version = versionOf(dispatcher.start(progress, START));
    Decision next = dispatcher.onFailure(progress, AttemptOutcome.LOST, after(30));
    assertThat(versionOf(next)).isNotEqualTo(version);
  }
}
