package org.fallturn.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class NamedLimitTest {

  private final NamedLimit limit = new NamedLimit();

  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static LimitWord named(double perSecond, int agoMillis) {
    return new LimitWord(perSecond, agoMillis, LimitWord.NEVER);
  }

  @Test
  void answerThatWasMadeBeforeTheLimitWasNamedDoesNotEndIt() {
    assertThat(limit.onNamed(2.2, at(0), at(100))).isTrue();
    assertThat(limit.onNoneNamed(at(50))).isFalse();
    assertThat(limit.perSecond()).hasValue(2.2);
  }

  @Test
  void answerToARequestThatWasSentLaterEndsIt() {
    limit.onNamed(2.2, at(0), at(100));
    assertThat(limit.onNoneNamed(at(101))).isTrue();
    assertThat(limit.perSecond()).isEmpty();
    assertThat(limit.onNoneNamed(at(102))).isFalse();
  }

  @Test
  void itFallsAtOnceAndRisesOnlyByALaterRequest() {
    limit.onNamed(5, at(0), at(100));
    assertThat(limit.onNamed(3, at(20), at(120))).isTrue();
    assertThat(limit.onNamed(5, at(30), at(130))).isFalse();
    assertThat(limit.perSecond()).hasValue(3);
    assertThat(limit.onNamed(5, at(121), at(140))).isTrue();
    assertThat(limit.perSecond()).hasValue(5);
  }

  @Test
  void whatOthersTellIsBelievedWhereThisNodeHeardNothingItself() {
    assertThat(limit.onPeerReport(named(2, 30), at(1_000))).isTrue();
    assertThat(limit.perSecond()).hasValue(2);
    assertThat(limit.onPeerReport(new LimitWord(0, LimitWord.NEVER, 20), at(1_100))).isTrue();
    assertThat(limit.perSecond()).isEmpty();
  }

  @Test
  void whatThisNodeHeardItselfGoesBeforeWhatOthersToldAtAboutTheSameTime() {
    limit.onNamed(5, at(900), at(1_000));
    assertThat(limit.onPeerReport(named(2, 100), at(1_200))).isFalse();
    assertThat(limit.onPeerReport(new LimitWord(0, LimitWord.NEVER, 50), at(1_200))).isFalse();
    assertThat(limit.onPeerReport(named(2, 100), at(1_700))).isTrue();
    assertThat(limit.perSecond()).hasValue(2);
  }

  @Test
  void oldWordDoesNotBringBackALimitThatHasEnded() {
    limit.onNamed(5, at(900), at(1_000));
    limit.onNoneNamed(at(1_010));
    assertThat(limit.onPeerReport(named(5, 100), at(1_200))).isFalse();
    assertThat(limit.perSecond()).isEmpty();
  }

  @Test
  void endIsToldForAWhile() {
    limit.onNamed(5, at(900), at(1_000));
    assertThat(limit.word(at(1_040))).isEqualTo(named(5, 40));
    limit.onNoneNamed(at(1_100));
    assertThat(limit.word(at(1_400))).isEqualTo(new LimitWord(0, LimitWord.NEVER, 300));
    assertThat(limit.word(at(9_000))).isEqualTo(LimitWord.NONE);
  }

  @Test
  void ofTwoWordsTheNewerHoldsAndOfTwoAtTheSameTimeTheLower() {
    assertThat(named(5, 40).and(named(2, 90))).isEqualTo(named(5, 40));
    assertThat(named(5, 40).and(named(2, 40))).isEqualTo(named(2, 40));
    assertThat(LimitWord.NONE.and(named(2, 40))).isEqualTo(named(2, 40));
    LimitWord ended = new LimitWord(0, LimitWord.NEVER, 7);
    assertThat(named(2, 40).and(ended)).isEqualTo(new LimitWord(2, 40, 7));
    assertThat(ended.and(new LimitWord(0, LimitWord.NEVER, 3)).endedAgoMillis()).isEqualTo(3);
  }

  private record Answer(OptionalDouble named, long sentMillis, long cameMillis) {}

  /**
   * Answers come in any order. Whatever was named last is in force once an answer to a request
   * which was sent after all of its answers has come, and no limit is believed that was never
   * named.
   */
  @Property(tries = 200)
  void lastWordOfTheEngineHoldsHoweverAnswersOvertakeEachOther(@ForAll long seed) {
    Random random = new Random(seed);
    List<Answer> answers = new ArrayList<>();
    double[] numbers = {0, 2, 5};
    OptionalDouble says = OptionalDouble.empty();
    for (int millis = 0; millis < 3_000; millis += 20) {
      if (random.nextInt(20) == 0) {
        int number = random.nextInt(numbers.length + 1);
        says =
            number < numbers.length ? OptionalDouble.of(numbers[number]) : OptionalDouble.empty();
      }
      answers.add(new Answer(says, millis - random.nextInt(300), millis + random.nextInt(300)));
    }
    answers.sort((left, right) -> Long.compare(left.cameMillis, right.cameMillis));
    NamedLimit believed = new NamedLimit();
    answers.forEach(answer -> take(believed, answer));
    take(believed, new Answer(says, 3_400, 3_450));
    assertThat(believed.perSecond()).isEqualTo(says);
  }

  private static void take(NamedLimit believed, Answer answer) {
    if (answer.named.isPresent()) {
      believed.onNamed(answer.named.getAsDouble(), at(answer.sentMillis), at(answer.cameMillis));
    } else {
      believed.onNoneNamed(at(answer.sentMillis));
    }
  }
}
