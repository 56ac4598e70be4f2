package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

class CacheSurveyTest {

  private static final long START = 5_000_000_000L;

  private final List<String> asked = new ArrayList<>();
  private final List<Consumer<Optional<List<PromptPart>>>> answers = new ArrayList<>();
  private final List<DispatchEvent> told = new ArrayList<>();
  private final CacheSurvey survey =
      new CacheSurvey(
          (engine, answer) -> {
            asked.add(engine.id());
            answers.add(answer);
          },
          told::add);

  private static ServingEngine engine(String id, EngineStage stage) {
    return new ServingEngine(
        id, "llm", new NetworkAddress("127.0.0.1", 1), "zone-1", 8, false, stage);
  }

  private static DispatchEvent.CacheListed answer(boolean known) {
    Optional<PlacedPrompt> parts =
        known ? Optional.of(new PlacedPrompt("d-1", 0, List.of())) : Optional.empty();
    return new DispatchEvent.CacheListed("d-1", START, parts);
  }

  private static EngineDirectory listed(ServingEngine... engines) {
    return EngineDirectory.of(1, List.of(engines));
  }

  @Test
  void asksEachModelEngineOnceAndAgainAfterItsEntryWasGone() {
    ServingEngine decode = engine("d-1", EngineStage.DECODE);
    ServingEngine application = engine("a-1", EngineStage.NONE);
    survey.onDirectory(listed(decode, application), START);
    survey.onDirectory(listed(decode, application), START);
    assertThat(asked).containsExactly("d-1");
    survey.onDirectory(listed(application), START);
    survey.onDirectory(listed(decode, application), START);
    assertThat(asked).containsExactly("d-1", "d-1");
  }

  @Test
  void fewAreAskedAtOnce() {
    ServingEngine[] many =
        IntStream.range(0, 20)
            .mapToObj(number -> engine("d-" + number, EngineStage.DECODE))
            .toArray(ServingEngine[]::new);
    survey.onDirectory(listed(many), START);
    int atOnce = asked.size();
    assertThat(atOnce).isPositive().isLessThan(10);
    survey.onAnswer(answer(true));
    assertThat(asked).hasSize(atOnce + 1);
    while (asked.size() < many.length) {
      survey.onAnswer(answer(true));
    }
    assertThat(asked).doesNotHaveDuplicates();
  }

  @Test
  void enginesThatReadPromptsAheadAreAskedFirst() {
    survey.onDirectory(
        listed(engine("d-1", EngineStage.DECODE), engine("p-1", EngineStage.PREFILL)), START);
    assertThat(asked).containsExactly("p-1", "d-1");
  }

  @Test
  void promptsWaitOnlyWhileEnginesAreAskedAfterTheStart() {
    ServingEngine first = engine("d-1", EngineStage.DECODE);
    assertThat(survey.wantsPatience(START)).isFalse();
    survey.onDirectory(listed(first), START);
    assertThat(survey.wantsPatience(START)).isTrue();
    assertThat(survey.wantsPatience(START + Duration.ofSeconds(1).toNanos())).isFalse();
    survey.onAnswer(answer(false));
    assertThat(survey.wantsPatience(START)).isFalse();
    survey.onDirectory(listed(first, engine("d-2", EngineStage.DECODE)), START);
    assertThat(survey.wantsPatience(START + Duration.ofSeconds(1).toNanos())).isFalse();
  }

  @Test
  void enginesAreAskedAgainAfterAPauseThatGrowsWithTheNodes() {
    int fewNodes = 5;
    int manyNodes = 100;
    survey.onDirectory(listed(engine("d-1", EngineStage.DECODE)), START);
    survey.onTick(START + Duration.ofSeconds(6).toNanos(), fewNodes);
    assertThat(asked).as("not while it is still asked").hasSize(1);
    survey.onAnswer(answer(true));
    survey.onTick(START + Duration.ofSeconds(4).toNanos(), fewNodes);
    survey.onTick(START + Duration.ofSeconds(40).toNanos(), manyNodes);
    assertThat(asked).hasSize(1);
    survey.onTick(START + Duration.ofSeconds(40).toNanos(), fewNodes);
    assertThat(asked).containsExactly("d-1", "d-1");
    assertThat(survey.answered()).isEqualTo(1);
  }

  @Test
  void answersComeAsEvents() {
    survey.onDirectory(listed(engine("d-1", EngineStage.DECODE)), START);
    answers.get(0).accept(Optional.of(List.of(new PromptPart("aa", 30))));
    answers.get(0).accept(Optional.empty());
    DispatchEvent.CacheListed known = (DispatchEvent.CacheListed) told.get(0);
    assertThat(known.parts().orElseThrow().parts()).containsExactly(new PromptPart("aa", 30));
    assertThat(((DispatchEvent.CacheListed) told.get(1)).parts()).isEmpty();
  }
}
