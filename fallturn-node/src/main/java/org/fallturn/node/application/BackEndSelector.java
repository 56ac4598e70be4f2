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
 * Chooses the back end of each request: live in the machine list, not drained by an operator, in
 * this node's zone if there is one, then with the fewest requests of this node in progress. One
 * that refused a connection is passed over for a moment while others are left. Thread-safe.
 */
public final class BackEndSelector {

  private static final long AVOID_NANOS = Duration.ofSeconds(2).toNanos();

  private final Supplier<MachineList> machines;
  private final Supplier<ConfigurationImage> configuration;
  private final ZoneName zone;
  private final LongSupplier nanoClock;
  private final Map<BackEndId, AtomicInteger> inFlight = new ConcurrentHashMap<>();
  private final Map<BackEndId, Long> avoidedUntil = new ConcurrentHashMap<>();
  private final AtomicLong turns = new AtomicLong();

  /** A selector with nothing in flight. */
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

  /** Chooses a back end and counts a request on it; empty when none is left. */
  public Optional<BackEnd> acquire(ServiceName service, Set<BackEndId> excluded) {
    List<BackEnd> candidates = candidates(service, excluded);
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int start = (int) (turns.getAndIncrement() % candidates.size());
    Comparator<BackEnd> order =
        Comparator.<BackEnd, Boolean>comparing(this::isAvoided)
            .thenComparing(backEnd -> !backEnd.zone().equals(zone))
            .thenComparing(backEnd -> count(backEnd.id()).get());
    BackEnd best = candidates.get(start);
    for (int step = 1; step < candidates.size(); step++) {
      BackEnd next = candidates.get((start + step) % candidates.size());
      best = order.compare(next, best) < 0 ? next : best;
    }
    count(best.id()).incrementAndGet();
    return Optional.of(best);
  }

  /** The request on a back end is over. */
  public void release(BackEnd backEnd) {
    inFlight.computeIfPresent(
        backEnd.id(), (id, count) -> count.decrementAndGet() <= 0 ? null : count);
  }

  /** A connection to the back end was refused. */
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

  private AtomicInteger count(BackEndId id) {
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
