package org.fallturn.rehearsal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class DeterministicTokensTest {

  @Property(tries = 200, seed = "20261203")
  void lengthStaysWithinItsBounds(
      @ForAll String prompt, @ForAll @IntRange(min = 1, max = 500) int maxTokens) {
    int length = new DeterministicTokens(prompt).length(maxTokens);
    assertThat(length).isBetween(Math.max(1, maxTokens / 2), maxTokens);
  }

  @Property(tries = 100, seed = "20261203")
  void tokensFromAnyOffsetContinueTheAnswer(
      @ForAll String prompt, @ForAll @IntRange(max = 40) int split) {
    DeterministicTokens tokens = new DeterministicTokens(prompt);
    String whole = String.join("", tokens.tokens(0, 40));
    String parts =
        String.join("", tokens.tokens(0, split))
            + String.join("", tokens.tokens(split, 40 - split));
    assertThat(parts).isEqualTo(whole);
  }

  @Test
  void differentPromptsHaveDifferentAnswers() {
    Set<String> answers = new HashSet<>();
    for (int index = 0; index < 1000; index++) {
      answers.add(new DeterministicTokens("prompt " + index).answer(16));
    }
    assertThat(answers).hasSize(1000);
  }

  @Test
  void someAnswersEndBeforeTheLimit() {
    long early = 0;
    for (int index = 0; index < 1000; index++) {
      early += new DeterministicTokens("prompt " + index).length(100) < 100 ? 1 : 0;
    }
    assertThat(early).isBetween(150L, 350L);
  }
}
