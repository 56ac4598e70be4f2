package org.fallturn.core.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ScalingTerms;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.usage.DutyOutcome;
import org.junit.jupiter.api.Test;

/**
 * Simulates the platform: ordered engines appear after their start time, and the loaned engines of
 * a zone are reclaimed while others start.
 *
 * <p>Fifty engines at full price cost 0.17 of their revenue. The same number of loaned engines at
 * 0.22 of the price costs 0.04 of it, provided that a reclaimed zone is replaced in the other
 * zones.
 */
class ScalePlannerTest {

  private static final String SERVICE = "llm";
  private static final Duration BOOT = Duration.ofSeconds(4);
  private static final ScalingTerms TERMS =
      new ScalingTerms(
          1, 25, BOOT, OptionalDouble.of(0.22), Map.of("a", 1.0, "b", 0.8, "c", 1.25, "d", 0.9));

  private final ScalePlanner planner =
      new ScalePlanner(SERVICE, new ScaleParameters(true, 0.1, 0.35));
  private final List<ServingEngine> engines = new ArrayList<>();
  private final List<Start> starting = new ArrayList<>();
  private final List<ScaleOrder> orders = new ArrayList<>();
  private final List<String> exhaustedZones = new ArrayList<>();
  private long millis = 1_000;
  private int number;

  private record Start(ServingEngine engine, long atMillis) {}

  private ServingEngine engine(String zone, boolean loan, EngineStage stage) {
    return new ServingEngine(
        "i-" + number++,
        OptionalLong.empty(),
        SERVICE,
        "",
        new NetworkAddress("10.0.0.1", 1 + number),
        zone,
        12,
        false,
        Optional.empty(),
        loan,
        stage);
  }

  private void addOwn(String zone, int count) {
    for (int added = 0; added < count; added++) {
      engines.add(engine(zone, false, added % 3 == 0 ? EngineStage.PREFILL : EngineStage.DECODE));
    }
  }

  private void startFleet() {
    List.of("a", "b", "c", "d").forEach(zone -> addOwn(zone, 12));
  }

  private void simulate(long untilMillis) {
    while (millis < untilMillis) {
      millis += 100;
      starting.stream().filter(s -> s.atMillis() <= millis).forEach(s -> engines.add(s.engine()));
      starting.removeIf(s -> s.atMillis() <= millis);
      long now = TimeUnit.MILLISECONDS.toNanos(millis);
      planner.wanted(TERMS, engines, now).ifPresent(action -> carryOut(action, now));
    }
  }

  private void carryOut(ScaleAction action, long now) {
    if (action instanceof ScaleAction.RecordInitialCounts recorded) {
      planner.onInitialCounts(recorded.counts());
      return;
    }
    ScaleOrder order = ((ScaleAction.SendOrder) action).order();
    orders.add(order);
    boolean exhausted = order.loan() && exhaustedZones.contains(order.zone());
    if (!exhausted) {
      obey(order);
    }
    planner.onAnswer(order, TERMS, exhausted ? DutyOutcome.FENCED : DutyOutcome.TAKEN, now);
  }

  private void obey(ScaleOrder order) {
    List<ServingEngine> present =
        engines.stream()
            .filter(e -> e.zone().equals(order.zone()) && e.reclaimable() == order.loan())
            .toList();
    for (int extra = order.count(); extra < present.size(); extra++) {
      engines.remove(present.get(extra));
    }
    for (int missing = present.size(); missing < order.count(); missing++) {
      EngineStage stage = missing % 3 == 0 ? EngineStage.PREFILL : EngineStage.DECODE;
      starting.add(new Start(engine(order.zone(), order.loan(), stage), millis + BOOT.toMillis()));
    }
  }

  private long count(boolean loans) {
    return engines.stream().filter(e -> e.reclaimable() == loans).count();
  }

  @Test
  void ownEnginesAreReplacedOnceLoanedEnginesServe() {
    startFleet();
    simulate(5_000);
    assertThat(count(false)).as("no own engine is given up before loaned ones serve").isEqualTo(48);
    simulate(20_000);
    assertThat(count(true))
        .as("the loaned engines of three zones replace the 40 given up")
        .isEqualTo(54);
    assertThat(count(false)).isEqualTo(8);
    // The limit of 25 leaves room for 13 loaned engines beside 12 own engines, so the last two go
    // to one zone.
    for (String zone : List.of("a", "b", "c", "d")) {
      long left = engines.stream().filter(e -> !e.zone().equals(zone)).count();
      assertThat(left).as("engines while " + zone + " is away").isGreaterThanOrEqualTo(45);
    }
    int before = orders.size();
    simulate(60_000);
    assertThat(orders).as("a fleet at its target size gets no orders").hasSize(before);
  }

  @Test
  void reclaimedZoneIsReplacedInTheOthers() {
    startFleet();
    simulate(20_000);
    engines.removeIf(engine -> engine.zone().equals("b") && engine.reclaimable());
    exhaustedZones.add("b");
    simulate(26_000);
    assertThat(count(true)).isEqualTo(54);
    assertThat(engines).noneMatch(e -> e.zone().equals("b") && e.reclaimable());
    assertThat(orders.stream().filter(order -> order.zone().equals("b") && order.loan()))
        .as("a zone without loaned engines is not asked repeatedly")
        .hasSizeLessThanOrEqualTo(3);
  }

  @Test
  void zoneLimitAppliesToBothKindsTogether() {
    List.of("a", "b").forEach(zone -> addOwn(zone, 20));
    simulate(40_000);
    assertThat(orders.stream().filter(ScaleOrder::loan))
        .allSatisfy(order -> assertThat(order.count()).isLessThanOrEqualTo(25));
    assertThat(count(true) + count(false)).isLessThanOrEqualTo(50);
  }

  @Test
  void loanedEnginesOfASingleZoneAreNotUsed() {
    addOwn("a", 12);
    simulate(20_000);
    assertThat(orders).isEmpty();
  }

  @Test
  void nothingIsOrderedWithoutLoanedEngines() {
    startFleet();
    ScalingTerms noLoans = new ScalingTerms(1, 25, BOOT, OptionalDouble.empty(), Map.of());
    for (int tick = 1; tick < 100; tick++) {
      long now = TimeUnit.MILLISECONDS.toNanos(100 * tick);
      assertThat(planner.wanted(noLoans, engines, now)).isEmpty();
    }
  }

  /** Counts of after some orders would be recorded as those of before any. */
  @Test
  void countsThatARestoredStoreMayHaveLostAreRecordedAgain() {
    startFleet();
    simulate(20_000);
    planner.onStoreRestored();
    Optional<ScaleAction> action =
        planner.wanted(TERMS, engines, TimeUnit.MILLISECONDS.toNanos(millis));
    assertThat(action)
        .contains(
            new ScaleAction.RecordInitialCounts(
                SERVICE, Map.of("a", 12, "b", 12, "c", 12, "d", 12), true));
  }
}
