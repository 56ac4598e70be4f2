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

class AnnouncedLimitTest {

  private final AnnouncedLimit limit = new AnnouncedLimit();

  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static AnnouncedLimitDigest announced(double perSecond, int agoMillis) {
    return new AnnouncedLimitDigest(perSecond, agoMillis, AnnouncedLimitDigest.NEVER);
  }

  @Test
  void answerThatWasMadeBeforeTheLimitWasNamedDoesNotEndIt() {
    assertThat(limit.onLimitAnnounced(2.2, at(0), at(100))).isTrue();
    assertThat(limit.onNoLimitAnnounced(at(50))).isFalse();
    assertThat(limit.perSecond()).hasValue(2.2);
  }

  @Test
  void answerToARequestThatWasSentLaterEndsIt() {
    limit.onLimitAnnounced(2.2, at(0), at(100));
    assertThat(limit.onNoLimitAnnounced(at(101))).isTrue();
    assertThat(limit.perSecond()).isEmpty();
    assertThat(limit.onNoLimitAnnounced(at(102))).isFalse();
  }

  @Test
  void itFallsAtOnceAndRisesOnlyByALaterRequest() {
    limit.onLimitAnnounced(5, at(0), at(100));
    assertThat(limit.onLimitAnnounced(3, at(20), at(120))).isTrue();
    assertThat(limit.onLimitAnnounced(5, at(30), at(130))).isFalse();
    assertThat(limit.perSecond()).hasValue(3);
    assertThat(limit.onLimitAnnounced(5, at(121), at(140))).isTrue();
    assertThat(limit.perSecond()).hasValue(5);
  }

  @Test
  void whatOthersTellIsBelievedWhereThisNodeHeardNothingItself() {
    assertThat(limit.onPeerReport(announced(2, 30), at(1_000))).isTrue();
    assertThat(limit.perSecond()).hasValue(2);
    assertThat(
            limit.onPeerReport(
                new AnnouncedLimitDigest(0, AnnouncedLimitDigest.NEVER, 20), at(1_100)))
        .isTrue();
    assertThat(limit.perSecond()).isEmpty();
  }

  @Test
  void whatThisNodeHeardItselfGoesBeforeWhatOthersToldAtAboutTheSameTime() {
    limit.onLimitAnnounced(5, at(900), at(1_000));
    assertThat(limit.onPeerReport(announced(2, 100), at(1_200))).isFalse();
    assertThat(
            limit.onPeerReport(
                new AnnouncedLimitDigest(0, AnnouncedLimitDigest.NEVER, 50), at(1_200)))
        .isFalse();
    assertThat(limit.onPeerReport(announced(2, 100), at(1_700))).isTrue();
    assertThat(limit.perSecond()).hasValue(2);
  }

  @Test
  void oldWordDoesNotBringBackALimitThatHasEnded() {
    limit.onLimitAnnounced(5, at(900), at(1_000));
    limit.onNoLimitAnnounced(at(1_010));
    assertThat(limit.onPeerReport(announced(5, 100), at(1_200))).isFalse();
    assertThat(limit.perSecond()).isEmpty();
  }

  @Test
  void endIsToldForAWhile() {
    limit.onLimitAnnounced(5, at(900), at(1_000));
    assertThat(limit.digest(at(1_040))).isEqualTo(announced(5, 40));
    limit.onNoLimitAnnounced(at(1_100));
    assertThat(limit.digest(at(1_400)))
        .isEqualTo(new AnnouncedLimitDigest(0, AnnouncedLimitDigest.NEVER, 300));
    assertThat(limit.digest(at(9_000))).isEqualTo(AnnouncedLimitDigest.NONE);
  }

  @Test
  void ofTwoWordsTheNewerHoldsAndOfTwoAtTheSameTimeTheLower() {
    assertThat(announced(5, 40).and(announced(2, 90))).isEqualTo(announced(5, 40));
    assertThat(announced(5, 40).and(announced(2, 40))).isEqualTo(announced(2, 40));
    assertThat(AnnouncedLimitDigest.NONE.and(announced(2, 40))).isEqualTo(announced(2, 40));
    AnnouncedLimitDigest ended = new AnnouncedLimitDigest(0, AnnouncedLimitDigest.NEVER, 7);
    assertThat(announced(2, 40).and(ended)).isEqualTo(new AnnouncedLimitDigest(2, 40, 7));
    assertThat(
            ended.and(new AnnouncedLimitDigest(0, AnnouncedLimitDigest.NEVER, 3)).endedAgoMillis())
        .isEqualTo(3);
  }

  private record Answer(OptionalDouble announced, long sentMillis, long cameMillis) {}

  /**
   * Answers come in any order. Whatever was announced last is in force once an answer to a request
   * which was sent after all of its answers has come, and no limit is believed that was never
   * announced.
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
    AnnouncedLimit believed = new AnnouncedLimit();
    answers.forEach(answer -> take(believed, answer));
    take(believed, new Answer(says, 3_400, 3_450));
    assertThat(believed.perSecond()).isEqualTo(says);
  }

  private static void take(AnnouncedLimit believed, Answer answer) {
    if (answer.announced.isPresent()) {
      believed.onLimitAnnounced(
          answer.announced.getAsDouble(), at(answer.sentMillis), at(answer.cameMillis));
    } else {
      believed.onNoLimitAnnounced(at(answer.sentMillis));
    }
  }
}
