package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Random;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A node in front of engines of which each third is slower for good. */
class UnevenFleetTest {

  private static final int NODES = 1;
  private static final int ENGINES = 6;
  private static final int STEP_MILLIS = 5;
  private static final double TOKENS_PER_MILLI = 50;
  private static final double SLOWER = 1.3;
  private static final int SEEDS = 4;
  private static final double LOAD_PART = 0.85;

  @BeforeEach
  void sameNames() {
    Requests.numberFrom(1);
  }

  /** Two of three engines are as usual, each third is slower; prompts come at most of what fits. */
  private static PrefillFleet play(boolean learnsPace, long seed) {
    ServingEngine[] engines = new ServingEngine[ENGINES + 1];
    for (int index = 0; index < ENGINES; index++) {
      engines[index] = Requests.engine("p-" + index, Requests.MODEL, EngineStage.PREFILL);
    }
    engines[ENGINES] = Requests.engine("d-0", Requests.MODEL, EngineStage.DECODE);
    PrefillFleet fleet = new PrefillFleet(NODES, TOKENS_PER_MILLI, learnsPace, engines);
    fleet.tellAtOnce();
    fleet.slow("p-2", SLOWER);
    fleet.slow("p-5", SLOWER);
    Random random = new Random(seed);
    double fits = TOKENS_PER_MILLI * ENGINES * (2 + 1 / SLOWER) / 3;
    for (int millis = 0; millis < 60_000; millis += STEP_MILLIS) {
      double meanTokens = 17_000;
      double arrivals = LOAD_PART * fits * STEP_MILLIS / meanTokens;
      if (random.nextDouble() < arrivals) {
        int tokens = 12_000 + random.nextInt(10_000);
        fleet.arrive(random.nextInt(NODES), Requests.promptAt(fleet.now(), tokens));
      }
      fleet.step();
    }
    return fleet;
  }

  private static double percentile(List<Double> times, double part) {
    return times.stream().sorted().skip((long) (part * times.size())).findFirst().orElseThrow();
  }

  private static double slowShare(PrefillFleet fleet) {
    double slow = fleet.sentTo("p-2") + fleet.sentTo("p-5");
    double usual = fleet.sentTo("p-0") + fleet.sentTo("p-1");
    usual += fleet.sentTo("p-3") + fleet.sentTo("p-4");
    return slow / (usual / 2);
  }

  @Test
  void shareOfWorkFollowsPaceAndTheWorstTimesFall() {
    double share = 0;
    double worstLearned = 0;
    double worstEven = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      PrefillFleet learned = play(true, seed);
      share += slowShare(learned) / SEEDS;
      worstLearned += percentile(learned.beginMillis(), 0.99) / SEEDS;
      worstEven += percentile(play(false, seed).beginMillis(), 0.99) / SEEDS;
    }
    assertThat(share).isCloseTo(1 / SLOWER, within(0.1));
    assertThat(worstLearned).isLessThan(worstEven);
  }
}
