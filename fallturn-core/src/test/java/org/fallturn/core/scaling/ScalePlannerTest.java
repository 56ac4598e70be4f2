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
 * Plays the platform's part: orders are carried out after a start, notices take a zone's loans away
 * while others start. Fifty engines at full price cost 0.17 of what they earn; the same number on
 * loan at 0.22 of it costs 0.04, as long as a zone that is taken away is made good elsewhere.
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
  private final List<String> dryZones = new ArrayList<>();
  private long millis = 1_000;
  private int number;

  private record Start(ServingEngine engine, long atMillis) {}

  private ServingEngine engine(String zone, boolean loan, EngineStage stage) {
    return new ServingEngine(
        "i-" + number++,
        OptionalLong.empty(),
        SERVICE,
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

  private void play(long untilMillis) {
    while (millis < untilMillis) {
      millis += 100;
      starting.stream().filter(s -> s.atMillis() <= millis).forEach(s -> engines.add(s.engine()));
      starting.removeIf(s -> s.atMillis() <= millis);
      long now = TimeUnit.MILLISECONDS.toNanos(millis);
      planner.wanted(TERMS, engines, now).ifPresent(wish -> carryOut(wish, now));
    }
  }

  private void carryOut(ScaleAction wish, long now) {
    if (wish instanceof ScaleAction.RecordInitialCounts fix) {
      planner.onInitialCounts(fix.observed());
      return;
    }
    ScaleOrder order = ((ScaleAction.SendOrder) wish).order();
    orders.add(order);
    boolean dry = order.loan() && dryZones.contains(order.zone());
    if (!dry) {
      obey(order);
    }
    planner.onAnswer(order, TERMS, dry ? DutyOutcome.FENCED : DutyOutcome.TAKEN, now);
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
  void ownEnginesAreReplacedOnceTheLoansServe() {
    startFleet();
    play(5_000);
    assertThat(count(false)).as("nothing is given up before loans serve").isEqualTo(48);
    play(20_000);
    assertThat(count(true)).as("those of three zones replace the 40 given up").isEqualTo(54);
    assertThat(count(false)).isEqualTo(8);
    // The limit of 25 leaves room for 13 loans beside 12 own engines; the last two go to one zone.
    for (String zone : List.of("a", "b", "c", "d")) {
      long left = engines.stream().filter(e -> !e.zone().equals(zone)).count();
      assertThat(left).as("engines while " + zone + " is away").isGreaterThanOrEqualTo(45);
    }
    int before = orders.size();
    play(60_000);
    assertThat(orders).as("a fleet that is as it should be gets no orders").hasSize(before);
  }

  @Test
  void aZoneThatIsTakenAwayIsMadeGoodInTheOthers() {
    startFleet();
    play(20_000);
    engines.removeIf(engine -> engine.zone().equals("b") && engine.reclaimable());
    dryZones.add("b");
    play(26_000);
    assertThat(count(true)).isEqualTo(54);
    assertThat(engines).noneMatch(e -> e.zone().equals("b") && e.reclaimable());
    assertThat(orders.stream().filter(order -> order.zone().equals("b") && order.loan()))
        .as("a zone without loans is not asked over and over")
        .hasSizeLessThanOrEqualTo(3);
  }

  @Test
  void limitsOfAZoneHoldForBothKindsTogether() {
    List.of("a", "b").forEach(zone -> addOwn(zone, 20));
    play(40_000);
    assertThat(orders.stream().filter(ScaleOrder::loan))
        .allSatisfy(order -> assertThat(order.count()).isLessThanOrEqualTo(25));
    assertThat(count(true) + count(false)).isLessThanOrEqualTo(50);
  }

  @Test
  void loansOfOneZoneAloneAreNotReliedOn() {
    addOwn("a", 12);
    play(20_000);
    assertThat(orders).isEmpty();
  }

  @Test
  void withoutLoansNothingIsOrdered() {
    startFleet();
    ScalingTerms noLoans = new ScalingTerms(1, 25, BOOT, OptionalDouble.empty(), Map.of());
    for (int tick = 1; tick < 100; tick++) {
      long now = TimeUnit.MILLISECONDS.toNanos(100 * tick);
      assertThat(planner.wanted(noLoans, engines, now)).isEmpty();
    }
  }
}
