package org.fallturn.core.roles;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.roles.EngineObservation.Availability;
import org.junit.jupiter.api.Test;

class PredictiveRolePolicyTest {
  private static final long WINDOW = 1_000_000_000L;
  private static final ModelName MODEL = new ModelName("m");
  private static final PoolId POOL = new PoolId(new ZoneName("z"), MODEL, 0);
  private static final EngineRates RATES = new EngineRates(10_000, 2_000, 64);
  private static final int ENGINES = 8;
  private static final int MEAN_PROMPT = 1_000;
  private static final int MEAN_OUTPUT = 200;

  @Property(tries = 300, seed = "20261203")
  void keepsFloorsAndTheBoundWhateverItSees(
      @ForAll long seed,
      @ForAll @IntRange(min = 2, max = 20) int engines,
      @ForAll @IntRange(min = 0, max = 4) int minPrefill,
      @ForAll @IntRange(min = 0, max = 4) int minDecode,
      @ForAll @IntRange(min = 1, max = 4) int maxChanging) {
    Random random = new Random(seed);
    PoolPolicyRecord record =
        new PoolPolicyRecord(MODEL, random.nextInt(50), minPrefill, minDecode, maxChanging, "");
    List<RolePolicy> policies =
        List.of(
            new PredictiveRolePolicy(RolePolicyParameters.DEFAULT),
            new ThresholdRolePolicy(),
            new StaticRolePolicy(random.nextInt(engines + 1)));
    for (int window = 0; window < 20; window++) {
      PoolObservation observation = randomObservation(random, engines, window);
      for (RolePolicy each : policies) {
        check(each.decide(observation, record), observation, record);
      }
    }
  }

  private static void check(
      List<RoleChange> changes, PoolObservation observation, PoolPolicyRecord record) {
    RoleCounts counts = RoleCounts.of(observation.engines());
    Set<EngineId> named = new HashSet<>();
    int fromPrefill = 0;
    for (RoleChange change : changes) {
      EngineObservation engine =
          observation.engines().stream()
              .filter(candidate -> candidate.engine().equals(change.engine()))
              .findFirst()
              .orElseThrow();
      assertThat(engine.availability()).isEqualTo(Availability.SERVING);
      assertThat(engine.role()).isNotEqualTo(change.role());
      assertThat(named.add(change.engine())).isTrue();
      fromPrefill += engine.role() == EngineRole.PREFILL ? 1 : 0;
    }
    int fromDecode = changes.size() - fromPrefill;
    if (fromPrefill > 0) {
      assertThat(counts.servingPrefill() - fromPrefill).isGreaterThanOrEqualTo(record.minPrefill());
    }
    if (fromDecode > 0) {
      assertThat(counts.servingDecode() - fromDecode).isGreaterThanOrEqualTo(record.minDecode());
    }
    if (!changes.isEmpty()) {
      assertThat(counts.changing() + changes.size()).isLessThanOrEqualTo(record.maxChanging());
    }
  }

  @Test
  void doesNotFlapOnStationaryNoise() {
    Random random = new Random(11);
    Fleet fleet = new Fleet(4);
    int late = 0;
    for (int window = 0; window < 600; window++) {
      int changes = fleet.step(noisyArrivals(random, 30), 0);
      late += window >= 60 ? changes : 0;
    }

    assertThat(late).isLessThanOrEqualTo(1);
  }

  @Test
  void movesOnArrivalsBeforeAnyQueueBuilds() {
    Fleet fleet = new Fleet(4);
    for (int window = 0; window < 60; window++) {
      fleet.step(new Arrivals(30, 30 * MEAN_PROMPT, 30 * MEAN_OUTPUT), 0);
    }
    int changes = 0;
    for (int window = 0; window < 8; window++) {
      changes += fleet.step(new Arrivals(30, 60_000, 2_000), 0);
    }

    assertThat(changes).isPositive();
    assertThat(fleet.prefill).isGreaterThan(4);
  }

  @Test
  void aHeavyWeightOnChangesOutweighsASmallGain() {
    assertThat(changesAfterSmallShift(0)).isPositive();
    assertThat(changesAfterSmallShift(5_000)).isZero();
  }

  private static int changesAfterSmallShift(double weight) {
    Fleet fleet = new Fleet(4);
    int changes = 0;
    for (int window = 0; window < 60; window++) {
      changes += fleet.step(new Arrivals(30, 48_000, 4_000), weight);
    }
    return changes;
  }

  private static Arrivals noisyArrivals(Random random, int mean) {
    int requests = 0;
    long prompt = 0;
    long output = 0;
    for (int slot = 0; slot < 10 * mean; slot++) {
      if (random.nextInt(10) == 0) {
        requests++;
        prompt += (long) (MEAN_PROMPT * Math.exp(0.7 * random.nextGaussian() - 0.245));
        output += (long) (MEAN_OUTPUT * Math.exp(0.5 * random.nextGaussian() - 0.125));
      }
    }
    return new Arrivals(requests, prompt, output);
  }

  private static PoolObservation randomObservation(Random random, int engines, int window) {
    List<EngineObservation> observations = new ArrayList<>();
    for (int index = 0; index < engines; index++) {
      observations.add(
          new EngineObservation(
              new EngineId("e" + index),
              EngineRole.values()[random.nextInt(2)],
              Availability.values()[random.nextInt(Availability.values().length)],
              random.nextInt(70),
              random.nextInt(20_000),
              random.nextInt(20_000)));
    }
    return new PoolObservation(
        POOL,
        window * WINDOW,
        WINDOW,
        random.nextInt(200),
        random.nextInt(400_000),
        random.nextInt(40_000),
        random.nextInt(400_000),
        random.nextInt(40_000),
        random.nextInt(50),
        random.nextInt(100),
        random.nextInt(10),
        List.of(
            new UrgencyObservation(
                Urgency.BATCH, 10, random.nextInt(500_000), random.nextInt(50_000), 0)),
        observations,
        RATES);
  }

  private record Arrivals(int requests, long promptTokens, long outputTokens) {}

  /** Carries every change out at once. */
  private static final class Fleet {
    private final PredictiveRolePolicy policy =
        new PredictiveRolePolicy(RolePolicyParameters.DEFAULT);
    private int prefill;
    private long window;

    Fleet(int prefill) {
      this.prefill = prefill;
    }

    /** No more work is placed than the engines of the role can do. */
    private static long placed(long arrived, int engines, double tokensPerSecond) {
      return Math.min(arrived, Math.round(engines * tokensPerSecond));
    }

    /** As many prefill engines are busy as the prompts need. */
    private static boolean isBusy(int index, Arrivals arrivals) {
      return index < Math.round(arrivals.promptTokens() / RATES.prefillTokensPerSecond());
    }

    /** The decode engines share the streams that the answers keep in progress. */
    private int streamsPerEngine(Arrivals arrivals) {
      double needed = arrivals.outputTokens() / RATES.decodeTokensPerSecond();
      double share = Math.min(1, needed / (ENGINES - prefill));
      return (int) Math.round(share * RATES.decodeSlots());
    }

    int step(Arrivals arrivals, double weight) {
      List<EngineObservation> engines = new ArrayList<>();
      for (int index = 0; index < ENGINES; index++) {
        EngineRole role = index < prefill ? EngineRole.PREFILL : EngineRole.DECODE;
        engines.add(
            new EngineObservation(
                new EngineId("e" + index),
                role,
                Availability.SERVING,
                role == EngineRole.DECODE ? streamsPerEngine(arrivals) : 1,
                isBusy(index, arrivals) ? 1_000 : 0,
                3_000));
      }
      PoolObservation observation =
          new PoolObservation(
              POOL,
              window++ * WINDOW,
              WINDOW,
              arrivals.requests(),
              arrivals.promptTokens(),
              arrivals.outputTokens(),
              placed(arrivals.promptTokens(), prefill, RATES.prefillTokensPerSecond()),
              placed(arrivals.outputTokens(), ENGINES - prefill, RATES.decodeTokensPerSecond()),
              0,
              arrivals.requests(),
              0,
              List.of(),
              engines,
              RATES);
      PoolPolicyRecord record = new PoolPolicyRecord(MODEL, weight, 1, 1, 1, "");
      List<RoleChange> changes = policy.decide(observation, record);
      for (RoleChange change : changes) {
        prefill += change.role() == EngineRole.PREFILL ? 1 : -1;
      }
      return changes.size();
    }
  }
}
