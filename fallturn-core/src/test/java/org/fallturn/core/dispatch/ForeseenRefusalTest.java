package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.MODEL;
import static org.fallturn.core.dispatch.Requests.START;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.Rank;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/** What is refused since it is foreseen to be too late, and what is not. */
class ForeseenRefusalTest {

  private static final Duration PATIENCE = Duration.ofSeconds(2);

  /** Tokens are read at 50 a ms. */
  private static final LearnedSpeed SPEED = new LearnedSpeed(0.02);

  private final ServingEngine prefill = Requests.engine("p-1", MODEL, EngineStage.PREFILL);
  private final ServingEngine other = Requests.engine("p-2", MODEL, EngineStage.PREFILL);
  private final ServingEngine decode = Requests.engine("d-1", MODEL, EngineStage.DECODE);
  private final ServingEngine otherDecode = Requests.engine("d-2", MODEL, EngineStage.DECODE);

  private static EngineDigest running(int requests) {
    return new EngineDigest(requests, 0, List.of(), 0, 0, EngineDigest.NOT_HEARD);
  }

  private static long after(long millis) {
    return START + Duration.ofMillis(millis).toNanos();
  }

  private static EngineDigest waiting(long tokens) {
    return new EngineDigest(1, 0, List.of(0L, 0L, 0L, 0L, tokens), 0, 0, EngineDigest.NOT_HEARD);
  }

  private static void receive(Dispatcher dispatcher, Map<String, EngineDigest> loads, long now) {
    LoadDigest digest = new LoadDigest("n-1", 1, now, loads, List.of(), Map.of(MODEL, SPEED));
    Requests.receive(dispatcher, digest, now);
  }

  /**
   * A flood of short prompts stood before the long ones: 343 of them ran to their deadline unread,
   * and nobody told their callers.
   */
  @Test
  void promptThatCannotBeginBeforeItsCallerLeavesIsRefusedAtOnceAlsoWhenItHasComeBack() {
    Dispatcher dispatcher = Requests.dispatcher(prefill);
    receive(dispatcher, Map.of("p-1", waiting(150_000)), START);
    RequestProgress first = Requests.impatientPrompt(PATIENCE, after(1), 4_000);
    RequestProgress back = Requests.impatientPrompt(PATIENCE, START - PATIENCE.toNanos(), 4_000);
    for (RequestProgress hopeless : List.of(first, back)) {
      Decision.Refuse refusal = (Decision.Refuse) dispatcher.start(hopeless, after(1));
      assertThat(refusal.kind().outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(refusal.retryAfter()).isPresent();
    }
  }

  @Test
  void promptThatMayStillBeginIsServed() {
    Dispatcher dispatcher = Requests.dispatcher(prefill);
    receive(dispatcher, Map.of("p-1", waiting(110_000)), START);
    RequestProgress back = Requests.impatientPrompt(PATIENCE, after(1), 4_000);
    assertThat(dispatcher.start(back, after(1))).isInstanceOf(Decision.Prefill.class);
  }

  /** Its engine crashed, and the other one cannot read it in the time that is left. */
  @Test
  void promptWhoseEngineFailedIsRefusedWhenItIsTooLateElsewhere() {
    Dispatcher dispatcher = Requests.dispatcher(prefill, other);
    receive(dispatcher, Map.of("p-2", waiting(150_000)), START);
    RequestProgress progress = Requests.impatientPrompt(PATIENCE, after(1), 4_000);
    assertThat(dispatcher.start(progress, after(1))).isInstanceOf(Decision.Prefill.class);
    Decision next = dispatcher.onFailure(progress, AttemptOutcome.LOST, after(600));
    assertThat(((Decision.Refuse) next).kind().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void callersOfOneRefusalDoNotComeBackTogetherNorLaterThanTheyWait() {
    Dispatcher dispatcher = Requests.dispatcher(prefill);
    receive(dispatcher, Map.of("p-1", waiting(640_000)), START);
    Set<Duration> back = new HashSet<>();
    for (int caller = 0; caller < 20; caller++) {
      RequestProgress progress = Requests.promptAt(START, 4_000);
      back.add(((Decision.Refuse) dispatcher.start(progress, START)).retryAfter().orElseThrow());
    }
    assertThat(back).hasSize(20).allMatch(time -> time.compareTo(Duration.ofMillis(1_667)) < 0);
  }

  @Test
  void callerThatHasComeBackGoesBeforeOneThatIsNewAndLate() {
    Dispatcher dispatcher = Requests.dispatcher(prefill);
    receive(dispatcher, Map.of("p-1", waiting(50_000)), START);
    RequestProgress fresh = Requests.promptAt(START, 4_000);
    RequestProgress back = Requests.returned(START, 4_000);
    int newLevel = ((Decision.Prefill) dispatcher.start(fresh, START)).urgency();
    int backLevel = ((Decision.Prefill) dispatcher.start(back, START)).urgency();
    assertThat(backLevel).isLessThan(newLevel);
  }

  /**
   * Read prompts were handed to a decode engine whose slots were all taken, since a request that
   * waits there for a slot seemed to cost next to nothing: they began one or two seconds later.
   */
  @Test
  void waitForASlotIsForeseenForAPromptThatHasBeenRead() {
    Dispatcher dispatcher = Requests.dispatcher(prefill, decode, otherDecode);
    learnStay(dispatcher);
    receive(dispatcher, Map.of("d-1", running(20), "d-2", running(16)), START);
    RequestProgress read = Requests.prompt(false, 0, 4_000);
    dispatcher.start(read, START);
    Decision.Run run = (Decision.Run) dispatcher.onPrefilled(read, "h", after(90));
    assertThat(run.engine()).isEqualTo(otherDecode);
    assertThat(run.estimate().millis())
        .as("nine ends of a second in eight slots")
        .isGreaterThan(1_000);
  }

  /** Engines evicted what they had begun, and read it anew, since others had room for it. */
  @Test
  void promptThatWouldOverfillACacheGoesToAnEngineFurtherAway() {
    Dispatcher dispatcher = Requests.dispatcher(decode);
    learnStay(dispatcher);
    for (int prompt = 0; prompt < 5; prompt++) {
      RequestProgress large = Requests.promptAt(START, 75_000);
      dispatcher.start(large, START);
      dispatcher.onBegan(large, START);
    }
    ServingEngine far =
        new ServingEngine("d-3", MODEL, decode.address(), "zone-2", 8, false, EngineStage.DECODE);
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(decode, far)), after(1));
    Decision small = dispatcher.start(Requests.promptAt(after(2), 400), after(2));
    Decision large = dispatcher.start(Requests.promptAt(after(2), 40_000), after(2));
    assertThat(((Decision.Run) small).engine()).isEqualTo(decode);
    assertThat(((Decision.Run) large).engine()).isEqualTo(far);
  }

  /**
   * Urgent prompts that were late already went before long ones that could still be in time, and
   * made them late too.
   */
  @Test
  void urgentPromptThatIsLateLetsOthersPassOnlyWhileItIsServedAllTheSame() {
    Dispatcher dispatcher = Requests.dispatcher(prefill);
    int late = urgency(dispatcher, 0, 40_000);
    int inTime = urgency(Requests.dispatcher(prefill), 2, 4_000);
    assertThat(late).isGreaterThan(inTime);
    int pressed = urgency(Requests.dispatcher(prefill), 0, 130_000);
    assertThat(pressed).isLessThan(inTime);
  }

  private static int urgency(Dispatcher dispatcher, int place, int tokens) {
    RequestProgress progress = Requests.ranked(new Rank(place, 3), tokens);
    return ((Decision.Prefill) dispatcher.start(progress, START)).urgency();
  }

  private static void learnStay(Dispatcher dispatcher) {
    RequestProgress stays = Requests.promptAt(after(-1_000), 100);
    dispatcher.start(stays, after(-1_000));
    dispatcher.onFinished(stays, START);
  }
}
