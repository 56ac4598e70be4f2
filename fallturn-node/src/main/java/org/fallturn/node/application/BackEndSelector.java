package org.fallturn.node.application;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.BackEndId;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;

/**
 * Load balancer that selects the back end for each request. Candidates are live in the machine list
 * and not drained by an operator. Among them it prefers, in this order, back ends that were not
 * passed to {@link #avoid} in the last two seconds, those of this node's own zone, and those with
 * the fewest requests in flight from this node. Ties are broken round-robin. Thread-safe.
 */
public final class BackEndSelector {

  private static final long AVOID_NANOS = Duration.ofSeconds(2).toNanos();

  private final Supplier<MachineList> machines;
  private final Supplier<ConfigurationImage> configuration;
  private final ZoneName zone;
  private final LongSupplier nanoClock;
  private final Map<BackEndId, AtomicInteger> inFlight = new ConcurrentHashMap<>();
  private final Map<BackEndId, Long> avoidedUntil = new ConcurrentHashMap<>();
  private final AtomicLong roundRobin = new AtomicLong();

  /**
   * Creates a selector with no requests in flight.
   *
   * @param machines the current machine list
   * @param configuration the current configuration, which names the drained machines
   * @param zone zone of this node
   * @param nanoClock monotonic clock, in nanoseconds
   */
  public BackEndSelector(
      Supplier<MachineList> machines,
      Supplier<ConfigurationImage> configuration,
      ZoneName zone,
      LongSupplier nanoClock) {
    this.machines = machines;
    this.configuration = configuration;
    this.zone = zone;
    this.nanoClock = nanoClock;
  }

  /**
   * Selects a back end and counts a request in flight on it until {@link #release}.
   *
   * @param service service of the request
   * @param excluded back ends that must not be selected
   * @return the back end, or empty if there is no candidate
   */
  public Optional<BackEnd> acquire(ServiceName service, Set<BackEndId> excluded) {
    List<BackEnd> candidates = candidates(service, excluded);
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int start = (int) (roundRobin.getAndIncrement() % candidates.size());
    Comparator<BackEnd> order =
        Comparator.<BackEnd, Boolean>comparing(this::isAvoided)
            .thenComparing(backEnd -> !backEnd.zone().equals(zone))
            .thenComparing(backEnd -> inFlightCount(backEnd.id()).get());
    BackEnd best = candidates.get(start);
    for (int step = 1; step < candidates.size(); step++) {
      BackEnd next = candidates.get((start + step) % candidates.size());
      best = order.compare(next, best) < 0 ? next : best;
    }
    inFlightCount(best.id()).incrementAndGet();
    return Optional.of(best);
  }

  /** Records that a request on the back end has ended. */
  public void release(BackEnd backEnd) {
    inFlight.computeIfPresent(
        backEnd.id(), (id, count) -> count.decrementAndGet() <= 0 ? null : count);
  }

  /**
   * Records that a request to the back end failed before it was sent, for example because the
   * connection was refused. Other back ends are preferred for two seconds.
   */
  public void avoid(BackEnd backEnd) {
    avoidedUntil.put(backEnd.id(), nanoClock.getAsLong() + AVOID_NANOS);
  }

  private List<BackEnd> candidates(ServiceName service, Set<BackEndId> excluded) {
    ConfigurationImage image = configuration.get();
    return machines.get().machines().stream()
        .filter(machine -> machine.kind() == Machine.Kind.APPLICATION)
        .filter(machine -> machine.state() == Machine.State.LIVE)
        .filter(machine -> machine.service().filter(service::equals).isPresent())
        .filter(machine -> !image.isDrained(machine.id()))
        .map(machine -> new BackEnd(new BackEndId(machine.id()), machine.zone(), machine.address()))
        .filter(backEnd -> !excluded.contains(backEnd.id()))
        .toList();
  }

  private AtomicInteger inFlightCount(BackEndId id) {
    return inFlight.computeIfAbsent(id, absent -> new AtomicInteger());
  }

  private boolean isAvoided(BackEnd backEnd) {
    Long until = avoidedUntil.get(backEnd.id());
    if (until == null) {
      return false;
    }
    if (nanoClock.getAsLong() - until < 0) {
      return true;
    }
    avoidedUntil.remove(backEnd.id(), until);
    return false;
  }
}
