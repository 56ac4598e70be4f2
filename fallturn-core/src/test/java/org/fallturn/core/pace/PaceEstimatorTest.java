package org.fallturn.core.pace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PaceEstimatorTest {

  private static final WorkKind KIND = WorkKind.READING;
  private static final long GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final String[] ENGINES = {"a", "b", "c", "d"};

  private static final Map<String, WorkKind> KINDS =
      Map.of("a", KIND, "b", KIND, "c", KIND, "d", KIND);

  private final Random random = new Random(7);
  private final Map<String, RecentPace> told = new HashMap<>();
  private final PaceEstimator pace =
      new PaceEstimator((id, now) -> told.getOrDefault(id, RecentPace.NONE));
  private long now = TimeUnit.SECONDS.toNanos(5);

  /** Work that takes 100 ms, give or take a third, times a factor. */
  private void work(String engineId, double factor) {
    now += GAP_NANOS;
    PaceForecast forecast = pace.forecast(engineId, KIND, now);
    double millis = 100 * factor * Math.exp(0.3 * random.nextGaussian());
    pace.onSample(new PaceSample(engineId, KIND, "w", millis, 80, 1, forecast), now);
  }

  private void rounds(int count, double factorOfA) {
    for (int round = 0; round < count; round++) {
      pace.onTick(KINDS, now);
      for (String engineId : ENGINES) {
        work(engineId, engineId.equals("a") ? factorOfA : 1);
      }
    }
  }

  private double slowness(String engineId) {
    return pace.slowness(engineId, KIND, now);
  }

  @Test
  void engineOfWhichNothingIsKnownIsUsual() {
    assertThat(slowness("a")).isEqualTo(1);
    assertThat(pace.slowness("a", WorkKind.APPLICATION, now)).isEqualTo(1);
  }

  @Test
  void permanentPaceIsLearnedWithinSomeSamples() {
    rounds(30, 1.3);
    now += TimeUnit.SECONDS.toNanos(1);
    assertThat(slowness("a") / slowness("b")).isCloseTo(1.3, within(0.15));
    assertThat(slowness("a") / slowness("c")).isCloseTo(1.3, within(0.15));
    assertThat(slowness("b")).isEqualTo(1);
  }

  @Test
  void oneOutlierCondemnsNoEngine() {
    rounds(10, 1);
    work("a", 500);
    now += GAP_NANOS;
    assertThat(slowness("a")).isLessThan(1.6);
    now += TimeUnit.SECONDS.toNanos(1);
    assertThat(slowness("a")).isLessThan(1.2);
  }

  @Test
  void slowMomentIsKnownAfterFewRequestsAndForgivenAfterIt() {
    for (int time = 0; time < 6; time++) {
      rounds(8, 1);
      rounds(3, 2.5);
    }
    rounds(8, 1);
    double before = slowness("a") / slowness("b");
    assertThat(before).isLessThan(1.5);
    rounds(2, 2.5);
    assertThat(slowness("a") / slowness("b")).isGreaterThan(1.2 * before);
    rounds(6, 1);
    assertThat(slowness("a") / slowness("b")).isLessThan(1.5);
  }

  @Test
  void wordOfThreeSecondsAgoSaysNothingOfTheMoment() {
    rounds(20, 1);
    rounds(2, 2.5);
    now += TimeUnit.SECONDS.toNanos(3);
    PaceForecast stale = pace.forecast("a", KIND, now);
    assertThat(stale.moment()).isCloseTo(0, within(0.001));
    assertThat(stale.slowness()).isCloseTo(Math.exp(stale.lasting()), within(0.001));
  }

  @Test
  void whatAnEngineIsFadesWhenItIsNotUsed() {
    rounds(30, 1.6);
    double known = slowness("a");
    now += TimeUnit.MINUTES.toNanos(10);
    assertThat(slowness("a")).isLessThan(known).isCloseTo(1, within(0.1));
  }

  @Test
  void laterStartOfAnEngineBeginsAsUsual() {
    rounds(30, 2);
    pace.retain(id -> !id.equals("a"));
    assertThat(slowness("a")).isEqualTo(1);
    assertThat(pace.recent("a", KIND, now)).isEqualTo(RecentPace.NONE);
  }

  @Test
  void moreLoadAtAllEnginesSetsNoneApartAndBecomesUsual() {
    rounds(20, 1);
    for (int round = 0; round < 120; round++) {
      pace.onTick(KINDS, now);
      for (String engineId : ENGINES) {
        work(engineId, 3);
      }
    }
    for (String engineId : ENGINES) {
      assertThat(slowness(engineId) / slowness("d")).isBetween(0.75, 1.33);
      assertThat(slowness(engineId)).isBetween(0.75, 1.33);
    }
  }

  @Test
  void freshWordOfTheEngineGoesBeforeTheEstimate() {
    rounds(20, 1);
    pace.onReportedPace("a", 2.5, now);
    assertThat(slowness("a")).isCloseTo(2.5, within(0.1));
    now += TimeUnit.SECONDS.toNanos(3);
    assertThat(slowness("a")).isLessThan(1.2);
  }

  @Test
  void engineThatLiesAgainAndAgainIsNotBelieved() {
    for (int round = 0; round < 30; round++) {
      pace.onReportedPace("a", 1, now);
      rounds(1, 3);
    }
    pace.onReportedPace("a", 1, now);
    assertThat(slowness("a")).isGreaterThan(1.5);
    assertThat(slowness("b")).isLessThan(1.1);
  }

  @Test
  void whatOthersTellIsTakenOnceAndStaysWhenTheyFallSilent() {
    Map<String, WorkKind> kinds = Map.of("a", KIND);
    pace.onTick(kinds, now);
    for (int turn = 0; turn < 30; turn++) {
      now += TimeUnit.MILLISECONDS.toNanos(100);
      told.put("a", new RecentPace(3 * Math.log(2), 3));
      pace.onTick(kinds, now);
    }
    assertThat(slowness("a")).isBetween(1.5, 2.1);
    told.clear();
    assertThat(slowness("a")).isBetween(1.4, 2.1);
    assertThat(slowness("b")).isEqualTo(1);
  }

  @Test
  void stateChangesOnceAndNotWithEachSample() {
    rounds(30, 1.6);
    assertThat(pace.takeChanges(now))
        .anySatisfy(
            change -> {
              assertThat(change.engineId()).isEqualTo("a");
              assertThat(change.state()).isEqualTo(PaceState.SLOW);
            });
    rounds(1, 1.6);
    assertThat(pace.takeChanges(now)).noneMatch(change -> change.engineId().equals("a"));
  }

  /**
   * Nodes that go by the same news must not all take the one engine that seems a little faster: of
   * a hundred deciders on one word, those engines that differ by less than is known stay equal.
   */
  @Test
  void hundredDecidersOnOneWordTakeNoSingleEngine() {
    List<PaceEstimator> deciders = new ArrayList<>();
    for (int node = 0; node < 100; node++) {
      deciders.add(new PaceEstimator((id, at) -> told.getOrDefault(id, RecentPace.NONE)));
    }
    told.put("a", RecentPace.of(92, 30));
    told.put("b", RecentPace.of(105, 30));
    told.put("c", RecentPace.of(260, 30));
    Map<String, Integer> taken = new HashMap<>();
    for (PaceEstimator decider : deciders) {
      for (int turn = 0; turn < 20; turn++) {
        now += TimeUnit.MILLISECONDS.toNanos(100);
        decider.onTick(KINDS, now);
      }
      Comparator<String> bySlowness =
          Comparator.comparingDouble(id -> decider.slowness(id, KIND, now));
      String first =
          Stream.of(ENGINES).min(bySlowness.thenComparing(id -> random.nextInt())).orElseThrow();
      taken.merge(first, 1, Integer::sum);
    }
    assertThat(taken).doesNotContainKey("c");
    assertThat(taken.values()).allMatch(count -> count < 70);
  }
}
