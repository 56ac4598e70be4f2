package org.fallturn.core.scaling;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ScalingTerms;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.usage.DutyOutcome;

/**
 * Decides how many engines of one service run in each zone. Loaned engines cost a fraction of the
 * price of own ones, but the platform may reclaim all of a zone at once. The planner keeps a few
 * own engines in each zone and replaces the others by loaned ones that are spread over the zones.
 * When loaned engines are reclaimed, or a zone has none to offer, it orders the missing ones in the
 * other zones, so that the loss of a zone's capacity lasts only as long as an engine takes to
 * start.
 *
 * <p>Invariants: own engines are given up only when the loaned engines that replace them serve
 * requests and both stages have their minimum share; the number of loaned engines is never reduced
 * by an order; no order is given at first, while the list of engines is still growing. One thread
 * calls, several times a second.
 */
public final class ScalePlanner {

  /**
   * Time without changes after which the list of engines counts as complete. At startup, engines
   * appear less than a second apart: in a list that grew for about 5 s, changes 0.76 s apart were
   * seen.
   */
  private static final long STABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Time after its start until an engine is known here: two heartbeats of 1.2 s. */
  private static final Duration REPORT_DELAY = Duration.ofSeconds(3);

  /**
   * Time until a zone that had no loaned engines is asked again; each call to the platform costs
   * something.
   */
  private static final long REFUSAL_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final String service;
  private final ScaleParameters parameters;
  private final Map<String, Ordered> orderedLoans = new HashMap<>();
  private final Map<String, Ordered> orderedOwn = new HashMap<>();
  private final Map<String, Long> refusedUntil = new HashMap<>();
  private Map<String, Integer> initialCounts = Map.of();
  private boolean mayBeLost;
  private Map<String, Integer> lastCounts = Map.of();
  private long lastChangeNanos;

  /**
   * Number of engines of a kind that a zone will have once an order has been carried out and is
   * known here.
   */
  private record Ordered(int count, long untilNanos) {}

  /** Creates a planner without observations. */
  public ScalePlanner(String service, ScaleParameters parameters) {
    this.service = service;
    this.parameters = parameters;
  }

  /** Takes the counts from before any order, as the store holds them. */
  public void onInitialCounts(Map<String, Integer> byZone) {
    initialCounts = new TreeMap<>(byZone);
    mayBeLost = false;
  }

  /** Handles that the store was restored from a copy, which may be older than the counts. */
  void onStoreRestored() {
    mayBeLost = true;
  }

  /** Returns the next action, if any. It is offered again until it has been answered. */
  public Optional<ScaleAction> wanted(
      ScalingTerms terms, Collection<ServingEngine> listed, long nowNanos) {
    if (!parameters.enabled() || terms.loanPrice().isEmpty()) {
      return Optional.empty();
    }
    List<ServingEngine> remaining = listed.stream().filter(e -> !e.leaving()).toList();
    if (!isStable(counts(remaining, false), nowNanos)) {
      return Optional.empty();
    }
    if (initialCounts.isEmpty()) {
      return Optional.of(new ScaleAction.RecordInitialCounts(service, lastCounts, false));
    }
    if (mayBeLost) {
      return Optional.of(new ScaleAction.RecordInitialCounts(service, initialCounts, true));
    }
    if (!loansPay(terms)) {
      return Optional.empty();
    }
    return wantedLoans(terms, remaining, nowNanos)
        .or(() -> wantedOwnReduction(remaining, nowNanos))
        .map(ScaleAction.SendOrder::new);
  }

  /**
   * Returns whether the list of engines has stopped growing. Only own engines count, since loaned
   * engines come and go by orders.
   */
  private boolean isStable(Map<String, Integer> own, long nowNanos) {
    if (own.isEmpty() && lastCounts.isEmpty()) {
      return false;
    }
    if (!own.equals(lastCounts)) {
      lastCounts = own;
      lastChangeNanos = nowNanos;
    }
    return !initialCounts.isEmpty() || nowNanos - lastChangeNanos >= STABLE_NANOS;
  }

  private static Map<String, Integer> counts(List<ServingEngine> engines, boolean loans) {
    Map<String, Integer> counts = new TreeMap<>();
    engines.stream()
        .filter(engine -> engine.reclaimable() == loans)
        .forEach(engine -> counts.merge(engine.zone(), 1, Integer::sum));
    return counts;
  }

  private int ownTarget(String zone) {
    return Math.max(
        1, (int) Math.ceil(parameters.ownShare() * initialCounts.getOrDefault(zone, 0)));
  }

  /**
   * Returns the number of loaned engines for the whole service. Those of all zones but one must be
   * as many as the engines that they replace. With only that many in all zones together, losing a
   * zone before a burst left 0.35 of the value of the burst's worst two seconds; with 1.4 times as
   * many, 0.55.
   */
  private int loanTarget() {
    int givenUp =
        initialCounts.keySet().stream()
            .mapToInt(zone -> initialCounts.get(zone) - ownTarget(zone))
            .sum();
    return (int) Math.ceil(loansPerEngine() * Math.max(0, givenUp));
  }

  private double loansPerEngine() {
    double zones = initialCounts.size();
    return zones / (zones - 1);
  }

  /**
   * Returns whether loaned engines in all zones cost less than the engines they replace. With a
   * single zone they do not pay, since all may be reclaimed at once.
   */
  private boolean loansPay(ScalingTerms terms) {
    return initialCounts.size() > 1 && loansPerEngine() * terms.loanPrice().orElse(1) < 1;
  }

  private Optional<ScaleOrder> wantedLoans(
      ScalingTerms terms, List<ServingEngine> remaining, long nowNanos) {
    Map<String, Integer> own = counts(remaining, false);
    Map<String, Integer> loans = withOrderedLoans(counts(remaining, true), nowNanos);
    Map<String, Integer> wanted = new TreeMap<>(loans);
    int missing = loanTarget() - sum(loans);
    while (missing > 0) {
      Optional<String> zone = emptiestZone(terms, own, wanted, nowNanos);
      if (zone.isEmpty()) {
        break;
      }
      wanted.merge(zone.get(), 1, Integer::sum);
      missing--;
    }
    return wanted.keySet().stream()
        .filter(zone -> wanted.get(zone) > loans.getOrDefault(zone, 0))
        .findFirst()
        .map(zone -> new ScaleOrder(service, zone, wanted.get(zone), true));
  }

  private Map<String, Integer> withOrderedLoans(Map<String, Integer> listed, long nowNanos) {
    orderedLoans.values().removeIf(ordered -> nowNanos - ordered.untilNanos() >= 0);
    Map<String, Integer> loans = new TreeMap<>(listed);
    orderedLoans.forEach((zone, ordered) -> loans.merge(zone, ordered.count(), Math::max));
    return loans;
  }

  /**
   * Returns the zone with the fewest loaned engines that is below its limit and has not refused any
   * recently.
   */
  private Optional<String> emptiestZone(
      ScalingTerms terms, Map<String, Integer> own, Map<String, Integer> loans, long nowNanos) {
    refusedUntil.values().removeIf(until -> nowNanos - until >= 0);
    Set<String> zones = new TreeSet<>(initialCounts.keySet());
    zones.removeIf(
        zone ->
            refusedUntil.containsKey(zone)
                || own.getOrDefault(zone, 0) + loans.getOrDefault(zone, 0) >= terms.most());
    return zones.stream()
        .min(
            (left, right) -> {
              int byCount = loans.getOrDefault(left, 0) - loans.getOrDefault(right, 0);
              return byCount != 0
                  ? byCount
                  : Double.compare(terms.zonePrice(left), terms.zonePrice(right));
            });
  }

  /** Returns an order that gives up own engines, as far as the fleet keeps its target size. */
  private Optional<ScaleOrder> wantedOwnReduction(List<ServingEngine> remaining, long nowNanos) {
    Map<String, Integer> listed = counts(remaining, false);
    Map<String, Integer> own = withOrderedReductions(listed, nowNanos);
    int leavingSoon = sum(listed) - sum(own);
    int surplus = remaining.size() - leavingSoon - fleetTarget();
    if (surplus <= 0 || !stagesHaveTheirMinimum(remaining)) {
      return Optional.empty();
    }
    return own.keySet().stream()
        .filter(zone -> initialCounts.containsKey(zone) && own.get(zone) > ownTarget(zone))
        .filter(zone -> orderedLoans.isEmpty() || own.get(zone) - ownTarget(zone) <= surplus)
        .findFirst()
        .map(
            zone -> {
              int count = Math.max(ownTarget(zone), own.get(zone) - surplus);
              return new ScaleOrder(service, zone, count, false);
            });
  }

  private static int sum(Map<String, Integer> counts) {
    return counts.values().stream().mapToInt(count -> count).sum();
  }

  /** Returns the own engines that remain once all earlier orders have been carried out. */
  private Map<String, Integer> withOrderedReductions(Map<String, Integer> listed, long nowNanos) {
    orderedOwn.values().removeIf(ordered -> nowNanos - ordered.untilNanos() >= 0);
    Map<String, Integer> own = new TreeMap<>(listed);
    orderedOwn.forEach(
        (zone, ordered) ->
            own.computeIfPresent(zone, (z, count) -> Math.min(count, ordered.count())));
    return own;
  }

  private int fleetTarget() {
    return loanTarget() + initialCounts.keySet().stream().mapToInt(this::ownTarget).sum();
  }

  private boolean stagesHaveTheirMinimum(List<ServingEngine> remaining) {
    long prefill = remaining.stream().filter(e -> e.stage() == EngineStage.PREFILL).count();
    long decode = remaining.stream().filter(e -> e.stage() == EngineStage.DECODE).count();
    long minimum = (long) Math.floor(parameters.leastStageShare() * (prefill + decode));
    return prefill >= minimum && decode >= minimum;
  }

  /** Handles the answer to an order, or its absence. */
  public void onAnswer(ScaleOrder order, ScalingTerms terms, DutyOutcome outcome, long nowNanos) {
    boolean mayBeCarriedOut = outcome == DutyOutcome.TAKEN || outcome == DutyOutcome.UNANSWERED;
    if (!order.loan()) {
      orderedOwn.put(order.zone(), new Ordered(order.count(), nowNanos + REPORT_DELAY.toNanos()));
    } else if (mayBeCarriedOut) {
      long until = nowNanos + terms.boot().plus(REPORT_DELAY).toNanos();
      orderedLoans.put(order.zone(), new Ordered(order.count(), until));
    } else {
      refusedUntil.put(order.zone(), nowNanos + REFUSAL_PAUSE_NANOS);
    }
  }
}
