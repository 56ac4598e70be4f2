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

/**
 * An engine that stops answering must be suspended soon. An engine that merely has much to read
 * must not be suspended.
 */
class SilenceDetectorTest {

  private static final int TICK_MILLIS = 10;

  /** Maximum time in ms until an engine that has stopped answering is suspended. */
  private static final int SUSPENDED_WITHIN_MILLIS = 2_000;

  private final ServingEngine engine = Requests.engine("p-1", MODEL, EngineStage.PREFILL);

  private static long after(long millis) {
    return START + Duration.ofMillis(millis).toNanos();
  }

  /** A prompt that cannot be in time, so that it goes behind all prompts that can. */
  private static RequestProgress latePrompt() {
    return Requests.prompt(false, 0, 40_000);
  }

  private static boolean suspended(Dispatcher dispatcher, int millis) {
    dispatcher.onTick(after(millis));
    EngineDigest digest = dispatcher.fleet().ownLoads(after(millis)).get("p-1");
    return digest != null && digest.suspecting() > 0;
  }

  private static void reportSignOfLife(
      Dispatcher dispatcher, int sequence, int agoMillis, int millis) {
    Map<String, EngineDigest> engines =
        Map.of("p-1", new EngineDigest(1, 0, List.of(), 0, 0, agoMillis));
    LoadDigest digest = new LoadDigest("n-1", 1, sequence, engines, List.of(), Map.of());
    Requests.receive(dispatcher, digest, after(millis));
  }

  @Test
  void silentEngineWithOneLateRequestIsSuspended() {
    Dispatcher dispatcher = Requests.dispatcher(engine);
    RequestProgress late = latePrompt();
    dispatcher.start(late, START);
    assertThat(late.sentAsLate()).isTrue();
    assertThat(suspended(dispatcher, 300)).isFalse();
    assertThat(suspended(dispatcher, SUSPENDED_WITHIN_MILLIS)).isTrue();
  }

  @Test
  void engineThatAnswersOtherNodesIsNotSuspended() {
    Dispatcher dispatcher = Requests.dispatcher(engine);
    dispatcher.start(latePrompt(), START);
    for (int millis = 0; millis < 4_000; millis += TICK_MILLIS) {
      if (millis % 500 == 0) {
        reportSignOfLife(dispatcher, 1 + millis, 200, millis);
      }
      assertThat(suspended(dispatcher, millis)).as("at %d ms", millis).isFalse();
    }
  }

  private static EngineDigest waiting(int requests) {
    return new EngineDigest(requests, 0, List.of(0L, 200_000L), 0, 0, EngineDigest.NOT_HEARD);
  }

  /** Reports every 500 ms that another node has prompts there, and returns the suspension. */
  private static boolean suspendedWhileOthersWait(Dispatcher dispatcher, EngineDigest waiting) {
    dispatcher.start(latePrompt(), START);
    for (int millis = 0; millis < SUSPENDED_WITHIN_MILLIS; millis += 500) {
      LoadDigest digest =
          new LoadDigest("n-1", 1, 1 + millis, Map.of("p-1", waiting), List.of(), Map.of());
      Requests.receive(dispatcher, digest, after(millis));
    }
    return suspended(dispatcher, SUSPENDED_WITHIN_MILLIS);
  }

  /**
   * Many short prompts wait there for other nodes. A node that has just started allowed the engine
   * the time to read all of them as one prompt, and left its own request there meanwhile.
   */
  @Test
  void newNodeDoesNotTakeTheBacklogOfOthersForOnePrompt() {
    Dispatcher dispatcher = Requests.dispatcher(engine);
    EngineDigest waiting = waiting(100).withLongestPrompt(2_000);
    assertThat(suspendedWhileOthersWait(dispatcher, waiting)).isTrue();
  }

  /** A node that does not report the longest prompt may have but one there. */
  @Test
  void newNodeAllowsTheTimeToReadAPromptOfUnknownLength() {
    Dispatcher dispatcher = Requests.dispatcher(engine);
    assertThat(suspendedWhileOthersWait(dispatcher, waiting(1))).isFalse();
  }

  /**
   * Signs of life reach this node or another one until the engine stops answering at a random time.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void engineIsSuspendedOnceItAnswersNobodyAndNotBefore(long seed) {
    Random random = new Random(seed);
    Dispatcher dispatcher = Requests.dispatcher(engine);
    List<RequestProgress> waiting = new ArrayList<>();
    for (int request = 0; request <= random.nextInt(4); request++) {
      RequestProgress late = latePrompt();
      dispatcher.start(late, START);
      waiting.add(late);
    }
    int silentAt = 500 + random.nextInt(3_000);
    int nextSignMillis = random.nextInt(800);
    int millis = 0;
    for (; millis < silentAt; millis += TICK_MILLIS) {
      if (millis >= nextSignMillis) {
        giveSignOfLife(dispatcher, waiting.get(0), random.nextBoolean(), millis);
        nextSignMillis = millis + 50 + random.nextInt(800);
      }
      assertThat(suspended(dispatcher, millis)).as("while it answers, at %d ms", millis).isFalse();
    }
    int checkedMillis = millis;
    while (!suspended(dispatcher, checkedMillis)) {
      checkedMillis += TICK_MILLIS;
      assertThat(checkedMillis - silentAt)
          .as("ms without an answer")
          .isLessThanOrEqualTo(SUSPENDED_WITHIN_MILLIS);
    }
  }

  private static void giveSignOfLife(
      Dispatcher dispatcher, RequestProgress waiting, boolean toThisNode, int millis) {
    if (toThisNode) {
      dispatcher.onSignOfLife(waiting, after(millis));
    } else {
      reportSignOfLife(dispatcher, 1 + millis, 0, millis);
    }
  }
}
