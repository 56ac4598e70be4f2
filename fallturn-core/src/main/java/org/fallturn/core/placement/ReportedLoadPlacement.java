package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;

/**
 * Baselines that place at once, by nothing but lagging load reports, or by chance. They keep no
 * count of what they placed and no queue; requests queue at the engines. Used by one thread.
 */
public final class ReportedLoadPlacement implements PlacementPolicy {
  private static final long RETRY_MILLIS = 1_000;

  /** How an engine is chosen. */
  public enum Choice {
    /** Any engine of the role. */
    RANDOM,
    /** The one with the lower reported load of two drawn at random. */
    POWER_OF_TWO,
    /** The one with the lowest reported load. */
    LEAST_LOADED
  }

  private final PoolId pool;
  private final Choice choice;
  private final RandomGenerator random;
  private final Map<EngineId, Known> engines = new TreeMap<>();
  private List<PlacementDecision> decisions = new ArrayList<>();

  /** A baseline that knows no engine yet. */
  public ReportedLoadPlacement(PoolId pool, Choice choice, RandomGenerator random) {
    this.pool = pool;
    this.choice = choice;
    this.random = random;
  }

  @Override
  public void onListing(List<EngineListing> listing, long nowNanos) {
    engines.keySet().removeIf(e -> listing.stream().noneMatch(l -> l.engine().equals(e)));
    for (EngineListing entry : listing) {
      engines.computeIfAbsent(entry.engine(), key -> new Known()).listing = entry;
    }
  }

  @Override
  public void onEngineState(EngineState state, long nowNanos) {
    Known known = engines.get(state.engine());
    if (known != null) {
      known.state = Optional.of(state);
    }
  }

  @Override
  public void onEngineUnreachable(EngineId engine, long nowNanos) {
    Known known = engines.get(engine);
    if (known != null) {
      known.state = Optional.empty();
    }
  }

  @Override
  public void onLoadReport(LoadReport report, long nowNanos) {
    Known known = engines.get(report.engine());
    if (known != null) {
      known.requests = report.runningRequests() + report.waitingRequests();
      known.promptTokens = report.waitingPromptTokens();
    }
  }

  @Override
  public void onCacheEvents(EngineId engine, CacheEvents events, long nowNanos) {}

  @Override
  public void submit(PlacementRequest request, long nowNanos) {
    Optional<Known> decode = choose(request, EngineRole.DECODE, known -> known.requests);
    decisions.add(
        new PlacementDecision(request.requestId(), request.attempt(), answer(request, decode)));
  }

  private PlacementAnswer answer(PlacementRequest request, Optional<Known> decode) {
    if (decode.isEmpty()) {
      return new PlacementAnswer.Refused(
          ErrorKind.NO_CAPACITY, "no engine of the pool serves now", RETRY_MILLIS);
    }
    Optional<Known> prefill = choose(request, EngineRole.PREFILL, known -> known.promptTokens);
    return new PlacementAnswer.Placed(
        pool, Epoch.NONE, prefill.map(Known::target), decode.get().target());
  }

  private Optional<Known> choose(
      PlacementRequest request, EngineRole role, ToLongFunction<Known> load) {
    List<Known> candidates =
        engines.values().stream()
            .filter(known -> known.serves(role))
            .filter(known -> !request.excluded().contains(known.listing.engine()))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Comparator<Known> byLoad = Comparator.comparingLong(load);
    return switch (choice) {
      case RANDOM -> Optional.of(any(candidates));
      case POWER_OF_TWO -> {
        Known one = any(candidates);
        Known other = any(candidates);
        yield Optional.of(byLoad.compare(other, one) < 0 ? other : one);
      }
      case LEAST_LOADED -> candidates.stream().min(byLoad);
    };
  }

  private Known any(List<Known> candidates) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  @Override
  public void onProgress(PlacementProgress progress, long nowNanos) {}

  @Override
  public void advance(long nowNanos) {}

  @Override
  public List<PlacementDecision> takeDecisions() {
    List<PlacementDecision> taken = decisions;
    decisions = new ArrayList<>();
    return taken;
  }

  /** What is known of one engine. */
  private static final class Known {
    private EngineListing listing;
    private Optional<EngineState> state = Optional.empty();
    private long requests;
    private long promptTokens;

    private boolean serves(EngineRole role) {
      return state
          .filter(told -> told.activity() == EngineState.Activity.SERVING)
          .filter(told -> told.role() == role)
          .isPresent();
    }

    private EngineTarget target() {
      return new EngineTarget(listing.engine(), listing.address());
    }
  }
}
