package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.MODEL;
import static org.fallturn.core.dispatch.Requests.START;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An engine that goes dark is left soon, and one that merely has much to do is not. */
class SilenceDetectorTest {

  private static final int TICK_MILLIS = 10;

  /** Within which an engine that went dark is left. */
  private static final int LEFT_WITHIN_MILLIS = 2_000;

  private final ServingEngine engine = Requests.engine("p-1", MODEL, EngineStage.PREFILL);

  private static long after(long millis) {
    return START + Duration.ofMillis(millis).toNanos();
  }

  /** A prompt that cannot be in time, so that it goes behind all that can. */
  private static RequestProgress latePrompt() {
    return Requests.prompt(false, 0, 40_000);
  }

  private static boolean suspended(Dispatcher dispatcher, int millis) {
    dispatcher.onTick(after(millis));
    EngineDigest digest = dispatcher.fleet().ownLoads(after(millis)).get("p-1");
    return digest != null && digest.suspecting() > 0;
  }

  private static void tellHeard(Dispatcher dispatcher, int sequence, int agoMillis, int millis) {
    Map<String, EngineDigest> engines =
        Map.of("p-1", new EngineDigest(1, 0, List.of(), 0, 0, agoMillis));
    LoadDigest digest = new LoadDigest("n-1", 1, sequence, engines, List.of(), Map.of());
    Requests.receive(dispatcher, digest, after(millis));
  }

  @Test
  void engineWithOneLateRequestThatGoesDarkIsLeft() {
    Dispatcher dispatcher = Requests.dispatcher(engine);
    RequestProgress late = latePrompt();
    dispatcher.start(late, START);
    assertThat(late.sentAsLate()).isTrue();
    assertThat(suspended(dispatcher, 300)).isFalse();
    assertThat(suspended(dispatcher, LEFT_WITHIN_MILLIS)).isTrue();
  }

  @Test
  void engineThatAnswersOtherNodesMerelyHasMuchToDo() {
    Dispatcher dispatcher = Requests.dispatcher(engine);
    dispatcher.start(latePrompt(), START);
    for (int millis = 0; millis < 4_000; millis += TICK_MILLIS) {
      if (millis % 500 == 0) {
        tellHeard(dispatcher, 1 + millis, 200, millis);
      }
      assertThat(suspended(dispatcher, millis)).as("at %d ms", millis).isFalse();
    }
  }

  /** Signs of life come to this node or another until the engine goes dark at a random time. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void engineIsLeftOnceItAnswersNobodyAndNotBefore(long seed) {
    Random random = new Random(seed);
    Dispatcher dispatcher = Requests.dispatcher(engine);
    List<RequestProgress> waiting = new ArrayList<>();
    for (int request = 0; request <= random.nextInt(4); request++) {
      RequestProgress late = latePrompt();
      dispatcher.start(late, START);
      waiting.add(late);
    }
    int darkAt = 500 + random.nextInt(3_000);
    int nextSign = random.nextInt(800);
    int millis = 0;
    for (; millis < darkAt; millis += TICK_MILLIS) {
      if (millis >= nextSign) {
        sign(dispatcher, waiting.get(0), random.nextBoolean(), millis);
        nextSign = millis + 50 + random.nextInt(800);
      }
      assertThat(suspended(dispatcher, millis)).as("answering, %d ms", millis).isFalse();
    }
    int left = millis;
    while (!suspended(dispatcher, left)) {
      left += TICK_MILLIS;
      assertThat(left - darkAt).as("dark for so many ms").isLessThanOrEqualTo(LEFT_WITHIN_MILLIS);
    }
  }

  private static void sign(
      Dispatcher dispatcher, RequestProgress waiting, boolean toThisNode, int millis) {
    if (toThisNode) {
      dispatcher.onSignOfLife(waiting, after(millis));
    } else {
      tellHeard(dispatcher, 1 + millis, 0, millis);
    }
  }
}
