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
 * Decides how many engines of one service run where. Engines on loan cost a part of the others and
 * may be taken away, a zone at a time: a few of a zone's own stay, the others are replaced by loans
 * that are spread over the zones. When loans are taken away, or none are to be had in a zone, the
 * missing ones are ordered in the other zones, so that the load of a zone that is lost lasts for
 * the start of an engine.
 *
 * <p>Invariants: own engines are given up only once the loans in their place serve and both stages
 * have their share; loans are never ordered down; no order is given in the first moments, while the
 * list of engines is still growing. One thread calls, several times a second.
 */
public final class ScalePlanner {

  /**
   * While a list grows at a start, engines come less than a second apart: changes 0.76 s apart were
   * seen in a list that grew for some 5 s.
   */
  private static final long STABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Beyond its start, an engine takes two heartbeats of 1.2 s to be known. */
  private static final Duration NEWS = Duration.ofSeconds(3);

  /** Where none were to be had, they are asked for again after a while; each call has its price. */
  private static final long REFUSED_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final String service;
  private final ScaleParameters parameters;
  private final Map<String, Ordered> orderedLoans = new HashMap<>();
  private final Map<String, Ordered> orderedOwn = new HashMap<>();
  private final Map<String, Long> refusedUntil = new HashMap<>();
  private Map<String, Integer> standing = Map.of();
  private Map<String, Integer> lastSeen = Map.of();
  private long lastSeenNanos;

  /** Engines of a kind that a zone will have once an order is carried out and known. */
  private record Ordered(int count, long untilNanos) {}

  /** A planner that has seen nothing. */
  public ScalePlanner(String service, ScaleParameters parameters) {
    this.service = service;
    this.parameters = parameters;
  }

  /** The numbers before any order, as the store holds them. */
  public void onInitialCounts(Map<String, Integer> byZone) {
    standing = new TreeMap<>(byZone);
  }

  /** What is to be done now, if anything; the same until it was answered. */
  public Optional<ScaleAction> wanted(
      ScalingTerms terms, Collection<ServingEngine> listed, long nowNanos) {
    if (!parameters.enabled() || terms.loanPrice().isEmpty()) {
      return Optional.empty();
    }
    List<ServingEngine> staying = listed.stream().filter(e -> !e.leaving()).toList();
    if (!isStable(counts(staying, false), nowNanos)) {
      return Optional.empty();
    }
    if (standing.isEmpty()) {
      return Optional.of(new ScaleAction.RecordInitialCounts(service, lastSeen));
    }
    if (!loansPay(terms)) {
      return Optional.empty();
    }
    return wantedLoans(terms, staying, nowNanos)
        .or(() -> wantedOwn(staying, nowNanos))
        .map(ScaleAction.SendOrder::new);
  }

  /** Only own engines count here: loans come and go by orders. */
  private boolean isStable(Map<String, Integer> own, long nowNanos) {
    if (own.isEmpty() && lastSeen.isEmpty()) {
      return false;
    }
    if (!own.equals(lastSeen)) {
      lastSeen = own;
      lastSeenNanos = nowNanos;
    }
    return !standing.isEmpty() || nowNanos - lastSeenNanos >= STABLE_NANOS;
  }

  private static Map<String, Integer> counts(List<ServingEngine> engines, boolean loans) {
    Map<String, Integer> counts = new TreeMap<>();
    engines.stream()
        .filter(engine -> engine.reclaimable() == loans)
        .forEach(engine -> counts.merge(engine.zone(), 1, Integer::sum));
    return counts;
  }

  private int ownTarget(String zone) {
    return Math.max(1, (int) Math.ceil(parameters.ownShare() * standing.getOrDefault(zone, 0)));
  }

  /**
   * Loans of the whole service: so many that those of all zones but one are as many as the engines
   * they replace. With as many as these alone, a zone taken away before a burst left 0.35 of the
   * worth of its worst two seconds; with 1.4 times as many, 0.55.
   */
  private int loanTarget() {
    int givenUp =
        standing.keySet().stream().mapToInt(zone -> standing.get(zone) - ownTarget(zone)).sum();
    return (int) Math.ceil(loansAnEngine() * Math.max(0, givenUp));
  }

  private double loansAnEngine() {
    double zones = standing.size();
    return zones / (zones - 1);
  }

  /** Whether loans in all zones cost less than what they replace; in one zone all go at once. */
  private boolean loansPay(ScalingTerms terms) {
    return standing.size() > 1 && loansAnEngine() * terms.loanPrice().orElse(1) < 1;
  }

  private Optional<ScaleOrder> wantedLoans(
      ScalingTerms terms, List<ServingEngine> staying, long nowNanos) {
    Map<String, Integer> own = counts(staying, false);
    Map<String, Integer> loans = withOrdered(counts(staying, true), nowNanos);
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

  private Map<String, Integer> withOrdered(Map<String, Integer> listed, long nowNanos) {
    orderedLoans.values().removeIf(ordered -> nowNanos - ordered.untilNanos() >= 0);
    Map<String, Integer> loans = new TreeMap<>(listed);
    orderedLoans.forEach((zone, ordered) -> loans.merge(zone, ordered.count(), Math::max));
    return loans;
  }

  /** The zone with the fewest loans in which there is room and none were refused lately. */
  private Optional<String> emptiestZone(
      ScalingTerms terms, Map<String, Integer> own, Map<String, Integer> loans, long nowNanos) {
    refusedUntil.values().removeIf(until -> nowNanos - until >= 0);
    Set<String> zones = new TreeSet<>(standing.keySet());
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

  /** Gives own engines up, as far as the fleet stays as large as it is to be. */
  private Optional<ScaleOrder> wantedOwn(List<ServingEngine> staying, long nowNanos) {
    Map<String, Integer> listed = counts(staying, false);
    Map<String, Integer> own = withGivenUp(listed, nowNanos);
    int goingSoon = sum(listed) - sum(own);
    int toSpare = staying.size() - goingSoon - fleetTarget();
    if (toSpare <= 0 || !stagesHaveTheirShare(staying)) {
      return Optional.empty();
    }
    return own.keySet().stream()
        .filter(zone -> standing.containsKey(zone) && own.get(zone) > ownTarget(zone))
        .filter(zone -> orderedLoans.isEmpty() || own.get(zone) - ownTarget(zone) <= toSpare)
        .findFirst()
        .map(
            zone -> {
              int count = Math.max(ownTarget(zone), own.get(zone) - toSpare);
              return new ScaleOrder(service, zone, count, false);
            });
  }

  private static int sum(Map<String, Integer> counts) {
    return counts.values().stream().mapToInt(count -> count).sum();
  }

  /** Own engines that stay once the orders so far are carried out. */
  private Map<String, Integer> withGivenUp(Map<String, Integer> listed, long nowNanos) {
    orderedOwn.values().removeIf(ordered -> nowNanos - ordered.untilNanos() >= 0);
    Map<String, Integer> own = new TreeMap<>(listed);
    orderedOwn.forEach(
        (zone, ordered) ->
            own.computeIfPresent(zone, (z, count) -> Math.min(count, ordered.count())));
    return own;
  }

  private int fleetTarget() {
    return loanTarget() + standing.keySet().stream().mapToInt(this::ownTarget).sum();
  }

  private boolean stagesHaveTheirShare(List<ServingEngine> staying) {
    long prefill = staying.stream().filter(e -> e.stage() == EngineStage.PREFILL).count();
    long decode = staying.stream().filter(e -> e.stage() == EngineStage.DECODE).count();
    long least = (long) Math.floor(parameters.leastStageShare() * (prefill + decode));
    return prefill >= least && decode >= least;
  }

  /** An order was answered, or not. */
  public void onAnswer(ScaleOrder order, ScalingTerms terms, DutyOutcome outcome, long nowNanos) {
    boolean mayBeCarriedOut = outcome == DutyOutcome.TAKEN || outcome == DutyOutcome.UNANSWERED;
    if (!order.loan()) {
      orderedOwn.put(order.zone(), new Ordered(order.count(), nowNanos + NEWS.toNanos()));
    } else if (mayBeCarriedOut) {
      long until = nowNanos + terms.boot().plus(NEWS).toNanos();
      orderedLoans.put(order.zone(), new Ordered(order.count(), until));
    } else {
      refusedUntil.put(order.zone(), nowNanos + REFUSED_NANOS);
    }
  }
}
