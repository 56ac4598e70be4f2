package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.START;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/** When an attempt at the one engine that reads prompts is given up, and when it is waited for. */
class StuckAttemptTest {

  private static final Duration PATIENCE = Duration.ofMillis(500);

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
    assertThat(dispatcher.stuck(second, PATIENCE, after(530)))
        .as("nothing was heard since")
        .isPresent();
    dispatcher.onPrefilled(first, "h", after(535));
    assertThat(dispatcher.stuck(second, PATIENCE, after(545))).isEmpty();
  }

  @Test
  void promptAtAnEngineThatAnsweredLongAgoIsStuck() {
    sendTwo();
    dispatcher.onPrefilled(first, "h", after(100));
    assertThat(dispatcher.stuck(second, PATIENCE, after(615))).isEmpty();
    assertThat(dispatcher.stuck(second, PATIENCE, after(645))).isPresent();
  }

  @Test
  void promptWhoseConnectionWentSilentIsStuckInTheEndAlthoughItsEngineAnswersOthers() {
    RequestProgress lost = Requests.prompt(false, 0, 4_000);
    dispatcher.start(lost, START);
    for (int millis = 100; millis <= 1_500; millis += 100) {
      Map<String, EngineDigest> answered =
          Map.of("p-1", new EngineDigest(1, 0, List.of(), 0, 0, 20));
      LoadDigest digest = new LoadDigest("n-1", 1, millis, answered, List.of(), Map.of());
      Requests.receive(dispatcher, digest, after(millis));
      assertThat(dispatcher.stuck(lost, PATIENCE, after(millis))).isEmpty();
    }
    assertThat(dispatcher.stuck(lost, PATIENCE, after(1_570))).isEmpty();
    assertThat(dispatcher.stuck(lost, PATIENCE, after(1_590))).isPresent();
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
    Duration shortPatience = Duration.ofMillis(200);
    assertThat(dispatcher.stuck(second, shortPatience, after(300))).isEmpty();
    assertThat(dispatcher.stuck(second, shortPatience, after(520))).isPresent();
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
}
