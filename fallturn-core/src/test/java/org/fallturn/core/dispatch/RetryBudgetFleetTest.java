package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Checks the retry budget over a fleet of dispatchers, in front of engines that at random answer,
 * reject, lose or never begin prompts: the sends that reach the service beyond the first run of
 * each request, counted as the engines count them, stay within the bound that the operators set for
 * the whole fleet. Retries that no budget bounds multiply the load on engines that already fail.
 */
class RetryBudgetFleetTest {

  private static final double RATIO = 0.2;
  private static final double SLACK = 30;
  private static final long WINDOW = Duration.ofSeconds(10).toNanos();
  private static final int REQUESTS = 2_500;

  private static final ServingEngine[] ENGINES = engines();

  private static final AttemptOutcome[] FAILURES = {
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.NOT_EXECUTED,
    AttemptOutcome.MISDIRECTED,
    AttemptOutcome.LOST,
    AttemptOutcome.SILENT,
    AttemptOutcome.OUT_OF_TIME
  };

  private final List<Long> requestTimes = new ArrayList<>();
  private final List<Long> repeatTimes = new ArrayList<>();

  @Property(tries = 40, seed = "20261202")
  void arrivalsPastTheFirstStayWithinTheBoundOfTheFleet(
      @ForAll @IntRange(min = 1, max = 12) int nodes, @ForAll long seed) {
    requestTimes.clear();
    repeatTimes.clear();
    Random random = new Random(seed);
    double failureRate = random.nextDouble();
    List<Dispatcher> fleet = new ArrayList<>();
    long[] restartedAt = new long[nodes];
    for (int node = 0; node < nodes; node++) {
      fleet.add(node(hears(random), nodes));
    }
    long now = Requests.START;
    for (int request = 0; request < REQUESTS; request++) {
      now += random.nextInt(30) == 0 ? random.nextInt(2_000_000_000) : random.nextInt(10_000_000);
      int node = random.nextInt(nodes);
      if (random.nextInt(50) == 0 && now - restartedAt[node] > WINDOW) {
        fleet.set(node, node(hears(random), nodes));
        restartedAt[node] = now;
      }
      serveRequest(fleet.get(node), random, failureRate, now);
    }
    checkEveryWindow();
  }

  private static ServingEngine[] engines() {
    ServingEngine[] engines = new ServingEngine[6];
    for (int index = 0; index < engines.length; index++) {
      EngineStage stage = index % 2 == 0 ? EngineStage.PREFILL : EngineStage.DECODE;
      engines[index] = Requests.engine("e-" + index, Requests.MODEL, stage);
    }
    return engines;
  }

  private static boolean hears(Random random) {
    return random.nextInt(3) > 0;
  }

  /**
   * A node that has just started; one that hears from no other does not know the number of nodes.
   */
  private static Dispatcher node(boolean hears, int nodes) {
    Dispatcher dispatcher = Requests.dispatcher(SLACK, ENGINES);
    dispatcher.setNodeCount(hears ? OptionalInt.of(nodes) : OptionalInt.empty(), true);
    return dispatcher;
  }

  private void serveRequest(
      Dispatcher dispatcher, Random random, double failureRate, long arrivedNanos) {
    RequestProgress progress = Requests.prompt(true, 6_000, 2_000 + random.nextInt(3_000));
    requestTimes.add(arrivedNanos);
    long now = arrivedNanos;
    int arrivals = 0;
    boolean prefillTaken = false;
    Decision decision = dispatcher.start(progress, now);
    while (decision instanceof Decision.Prefill || decision instanceof Decision.Run) {
      boolean prefill = decision instanceof Decision.Prefill;
      boolean fails = random.nextDouble() < failureRate;
      AttemptOutcome failure = FAILURES[random.nextInt(FAILURES.length)];
      boolean arrives = !fails || failure != AttemptOutcome.NOT_SENT;
      boolean isFree = prefill && !fails && !prefillTaken;
      if (isFree) {
        prefillTaken = true;
      } else if (arrives && ++arrivals > 1) {
        repeatTimes.add(now);
      }
      now += random.nextInt(40_000_000);
      if (fails) {
        decision = dispatcher.onFailure(progress, failure, now);
      } else if (prefill) {
        decision = dispatcher.onPrefilled(progress, "handle", now);
      } else {
        dispatcher.onBegan(progress, now);
        dispatcher.onFinished(progress, now);
        return;
      }
    }
  }

  private void checkEveryWindow() {
    for (long end : repeatTimes) {
      long begin = end - WINDOW;
      long repeated = repeatTimes.stream().filter(at -> at > begin && at <= end).count();
      long requests = requestTimes.stream().filter(at -> at > begin - WINDOW && at <= end).count();
      assertThat(repeated).isLessThanOrEqualTo((long) (RATIO * requests + SLACK));
    }
  }
}
