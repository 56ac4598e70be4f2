package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/**
 * Guards against two failures of the poll for cache lists: engines that nobody polls, so that the
 * estimates of their caches drift, and engines that are polled too often or too many at once, which
 * delays their work.
 */
class CacheSurveyTest {

  private static final long START = 5_000_000_000L;

  private final List<String> asked = new ArrayList<>();
  private final List<Consumer<Optional<List<PromptPart>>>> answers = new ArrayList<>();
  private final List<DispatchEvent> posted = new ArrayList<>();
  private final Set<String> polledHere = new HashSet<>();
  private final CacheSurvey survey = survey(false);

  private int lookups;

  private CacheSurvey survey(boolean firstStart) {
    return new CacheSurvey(
        (engine, answer) -> {
          asked.add(engine.id());
          answers.add(answer);
        },
        posted::add,
        engine -> {
          lookups++;
          return polledHere.contains(engine);
        },
        firstStart);
  }

  private static long after(long millis) {
    return START + Duration.ofMillis(millis).toNanos();
  }

  private static ServingEngine engine(String id, EngineStage stage) {
    return new ServingEngine(
        id, "llm", new NetworkAddress("127.0.0.1", 1), "zone-1", 8, false, stage);
  }

  private static DispatchEvent.CacheListed answer(String engine, boolean known) {
    Optional<PlacedPrompt> parts =
        known ? Optional.of(new PlacedPrompt(engine, 0, List.of())) : Optional.empty();
    return new DispatchEvent.CacheListed(engine, START, parts);
  }

  private static EngineDirectory listed(ServingEngine... engines) {
    return EngineDirectory.of(1, List.of(engines));
  }

  @Test
  void ticksWithoutAnEngineThatIsDueLookNobodyUp() {
    survey.onDirectory(
        listed(engine("d-1", EngineStage.DECODE), engine("p-1", EngineStage.PREFILL)), START);
    survey.onPeerReport("d-1", START);
    survey.onPeerReport("p-1", START);
    for (int millis = 0; millis < 5_000; millis += 100) {
      survey.onTick(after(millis));
    }
    assertThat(lookups).isZero();
    survey.onTick(after(5_000));
    assertThat(lookups).isEqualTo(2);
  }

  @Test
  void asksItsOwnModelEnginesAtOnceAndOthersOnlyWhenNobodyTells() {
    polledHere.add("d-1");
    survey.onDirectory(
        listed(
            engine("d-1", EngineStage.DECODE),
            engine("d-2", EngineStage.DECODE),
            engine("d-3", EngineStage.DECODE),
            engine("a-1", EngineStage.NONE)),
        START);
    survey.onTick(after(1));
    assertThat(asked).containsExactly("d-1");
    assertThat(survey.wantsListings(after(2))).isTrue();
    survey.onPeerReport("d-2", after(300));
    survey.onTick(after(700));
    assertThat(asked).containsExactly("d-1", "d-3");
    survey.onAnswer(answer("d-1", true), after(710));
    survey.onAnswer(answer("d-3", true), after(710));
    assertThat(survey.answered()).isEqualTo(3);
    assertThat(survey.wantsListings(after(720))).isFalse();
  }

  @Test
  void enginesThatComeLaterOrWithTheWholeSystemKeepNothingYet() {
    polledHere.addAll(List.of("d-1", "d-2"));
    survey.onDirectory(listed(engine("d-1", EngineStage.DECODE)), START);
    survey.onTick(START);
    survey.onDirectory(
        listed(engine("d-1", EngineStage.DECODE), engine("d-2", EngineStage.DECODE)), START);
    survey.onTick(after(1));
    assertThat(asked).containsExactly("d-1");
    CacheSurvey first = survey(true);
    first.onDirectory(listed(engine("d-2", EngineStage.DECODE)), START);
    first.onTick(after(1));
    assertThat(asked).containsExactly("d-1");
    assertThat(first.shouldDelayPrompts(after(1))).isFalse();
  }

  @Test
  void fewAreAskedAtOnce() {
    ServingEngine[] many =
        IntStream.range(0, 20)
            .mapToObj(number -> engine("d-" + number, EngineStage.DECODE))
            .toArray(ServingEngine[]::new);
    for (ServingEngine engine : many) {
      polledHere.add(engine.id());
    }
    survey.onDirectory(listed(many), START);
    survey.onTick(START);
    int atOnce = asked.size();
    assertThat(atOnce).isPositive().isLessThan(10);
    survey.onAnswer(answer(asked.get(0), true), after(1));
    assertThat(asked).hasSize(atOnce + 1);
    for (int next = 1; asked.size() < many.length; next++) {
      survey.onAnswer(answer(asked.get(next), true), after(1));
    }
    assertThat(asked).doesNotHaveDuplicates();
  }

  @Test
  void enginesThatReadPromptsAheadAreAskedFirst() {
    polledHere.addAll(List.of("d-1", "p-1"));
    survey.onDirectory(
        listed(engine("d-1", EngineStage.DECODE), engine("p-1", EngineStage.PREFILL)), START);
    survey.onTick(START);
    assertThat(asked).containsExactly("p-1", "d-1");
  }

  @Test
  void promptsWaitOnlyAfterTheStartWhileItIsNotKnownWhatEnginesKeep() {
    ServingEngine first = engine("d-1", EngineStage.DECODE);
    assertThat(survey.shouldDelayPrompts(START)).isFalse();
    survey.onDirectory(listed(first), START);
    assertThat(survey.shouldDelayPrompts(START)).isTrue();
    assertThat(survey.shouldDelayPrompts(after(1_000))).isFalse();
    survey.onPeerReport("d-1", after(10));
    assertThat(survey.shouldDelayPrompts(after(11))).isFalse();
    survey.onDirectory(listed(first, engine("d-2", EngineStage.DECODE)), START);
    assertThat(survey.shouldDelayPrompts(after(12))).isFalse();
  }

  @Test
  void anEngineIsAskedAgainAfterFiveSecondsByOneNodeAndAfterFifteenByAny() {
    polledHere.add("d-1");
    survey.onDirectory(
        listed(engine("d-1", EngineStage.DECODE), engine("d-2", EngineStage.DECODE)), START);
    survey.onPeerReport("d-1", START);
    survey.onPeerReport("d-2", START);
    survey.onTick(after(4_900));
    assertThat(asked).isEmpty();
    survey.onTick(after(5_000));
    survey.onTick(after(6_000));
    assertThat(asked).as("not while it is still asked").containsExactly("d-1");
    survey.onAnswer(answer("d-1", false), after(7_000));
    survey.onTick(after(11_900));
    assertThat(asked).containsExactly("d-1");
    survey.onTick(after(12_000));
    assertThat(asked).containsExactly("d-1", "d-1");
    survey.onTick(after(15_000));
    assertThat(asked).containsExactly("d-1", "d-1", "d-2");
  }

  @Test
  void anEngineThatNeverListsItsCacheIsNotAskedWithoutPause() {
    polledHere.add("d-1");
    survey.onDirectory(listed(engine("d-1", EngineStage.DECODE)), START);
    survey.onTick(START);
    survey.onAnswer(answer("d-1", false), after(1));
    survey.onTick(after(500));
    assertThat(asked).containsExactly("d-1");
    survey.onTick(after(700));
    assertThat(asked).containsExactly("d-1", "d-1");
  }

  @Test
  void answersComeAsEvents() {
    polledHere.add("d-1");
    survey.onDirectory(listed(engine("d-1", EngineStage.DECODE)), START);
    survey.onTick(START);
    answers.get(0).accept(Optional.of(List.of(new PromptPart("aa", 30))));
    answers.get(0).accept(Optional.empty());
    DispatchEvent.CacheListed known = (DispatchEvent.CacheListed) posted.get(0);
    assertThat(known.parts().orElseThrow().parts()).containsExactly(new PromptPart("aa", 30));
    assertThat(((DispatchEvent.CacheListed) posted.get(1)).parts()).isEmpty();
  }
}
