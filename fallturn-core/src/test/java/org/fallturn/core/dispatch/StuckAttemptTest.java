package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.START;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/**
 * Checks when an attempt at the only prefill engine is given up and when it is waited for. Giving
 * up a prompt that merely waits behind others wastes its place; waiting on a lost connection costs
 * the caller its time.
 */
class StuckAttemptTest {

  private static final Duration TIMEOUT = Duration.ofMillis(500);

  private final ServingEngine prefill = Requests.engine("p-1", Requests.MODEL, EngineStage.PREFILL);
  private final Dispatcher dispatcher = Requests.dispatcher(prefill);
  private final RequestProgress first = Requests.prompt(false, 0, 4_000);
  private final RequestProgress second = Requests.prompt(false, 0, 4_000);

  private static long after(long millis) {
    return START + Duration.ofMillis(millis).toNanos();
  }

  private void sendTwo() {
    dispatcher.start(first, START);
    dispatcher.start(second, after(1));
  }

  @Test
  void promptThatWaitsBehindOthersAtAnEngineThatAnswersIsNotStuck() {
    sendTwo();
    assertThat(dispatcher.stuck(second, TIMEOUT, after(530)))
        .as("nothing was heard since")
        .isPresent();
    dispatcher.onPrefilled(first, "h", after(535));
    assertThat(dispatcher.stuck(second, TIMEOUT, after(545))).isEmpty();
  }

  @Test
  void promptAtAnEngineThatAnsweredLongAgoIsStuck() {
    sendTwo();
    dispatcher.onPrefilled(first, "h", after(100));
    assertThat(dispatcher.stuck(second, TIMEOUT, after(615))).isEmpty();
    assertThat(dispatcher.stuck(second, TIMEOUT, after(645))).isPresent();
  }

  @Test
  void promptOnASilentConnectionIsEventuallyStuckAlthoughItsEngineAnswersOthers() {
    RequestProgress lost = Requests.prompt(false, 0, 4_000);
    dispatcher.start(lost, START);
    for (int millis = 100; millis <= 1_500; millis += 100) {
      Map<String, EngineDigest> answered =
          Map.of("p-1", new EngineDigest(1, 0, List.of(), 0, 0, 20));
      LoadDigest digest = new LoadDigest("n-1", 1, millis, answered, List.of(), Map.of());
      Requests.receive(dispatcher, digest, after(millis));
      assertThat(dispatcher.stuck(lost, TIMEOUT, after(millis))).isEmpty();
    }
    assertThat(dispatcher.stuck(lost, TIMEOUT, after(1_570))).isEmpty();
    assertThat(dispatcher.stuck(lost, TIMEOUT, after(1_590))).isPresent();
  }

  @Test
  void promptAtAnEngineThatOtherNodesSuspectIsStuck() {
    sendTwo();
    dispatcher.onPrefilled(first, "h", after(100));
    Map<String, EngineDigest> suspects =
        Map.of("p-1", new EngineDigest(1, 0, List.of(), 1, 0, EngineDigest.NOT_HEARD));
    Requests.receive(
        dispatcher, new LoadDigest("n-1", 1, 1, suspects, List.of(), Map.of()), after(110));
    Requests.receive(
        dispatcher, new LoadDigest("n-2", 1, 1, suspects, List.of(), Map.of()), after(110));
    Duration shortTimeout = Duration.ofMillis(200);
    assertThat(dispatcher.stuck(second, shortTimeout, after(300))).isEmpty();
    assertThat(dispatcher.stuck(second, shortTimeout, after(520))).isPresent();
  }

  @Test
  void promptThatWasOvertakenByLaterOnesIsStuck() {
    RequestProgress lost = Requests.prompt(false, 0, 4_000);
    dispatcher.start(lost, START);
    for (int request = 1; request <= 3; request++) {
      RequestProgress later = Requests.prompt(false, 0, 4_000);
      dispatcher.start(later, after(request));
      assertThat(later.engine()).isEqualTo(lost.engine());
      dispatcher.onPrefilled(later, "h", after(80L * request));
    }
    assertThat(dispatcher.stuck(lost, Duration.ofMillis(200), after(250))).isPresent();
  }

  /**
   * One engine rests, and the other is silent for longer than a request takes, as when its machine
   * stalls. The request was taken from it though there was no other engine, and its caller got an
   * error at once where the answer came a moment later.
   */
  @Test
  void requestIsNotTakenFromASilentEngineWhileNoOtherCanTakeIt() {
    ServingEngine one = Requests.engine("a-1", Requests.APPLICATION, EngineStage.NONE);
    ServingEngine other = Requests.engine("a-2", Requests.APPLICATION, EngineStage.NONE);
    Dispatcher applications = Requests.dispatcher(one, other);
    applications.notices().onRest("a-1", Duration.ofSeconds(2).toNanos(), START);
    RequestProgress request = Requests.application(RequestKind.IDEMPOTENT, 3);
    applications.start(request, START);
    assertThat(request.engine()).contains(other);
    Duration timeout = Duration.ofSeconds(5);
    applications.onTick(after(1_000));
    assertThat(applications.stuck(request, timeout, after(1_000))).isEmpty();
    applications.onTick(after(2_100));
    assertThat(applications.stuck(request, timeout, after(2_100)))
        .contains(StuckReason.ENGINE_SILENT);
  }
}
