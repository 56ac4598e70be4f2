package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.port.engine.EngineState;

/**
 * Places requests of a pool whose leader is silent, from one node's own knowledge: what the engines
 * last told of their roles, and a count of what this node itself has placed, at most a cap on each
 * engine. Of two engines drawn at random the one with the lower count is taken. Used by one thread.
 */
public final class LeaderlessPlacement {
  private final int maxInFlightPerEngine;
  private final Map<RequestId, PlacementAnswer.Placed> placed = new HashMap<>();
  private final Map<EngineId, Integer> inFlight = new HashMap<>();

  /**
   * Places with a cap.
   *
   * @param maxInFlightPerEngine requests this node places on one engine without a leader
   */
  public LeaderlessPlacement(int maxInFlightPerEngine) {
    this.maxInFlightPerEngine = maxInFlightPerEngine;
  }

  /** Chooses engines among those known; empty when none that serves is below the cap. */
  public Optional<PlacementAnswer.Placed> place(
      PoolId pool,
      PlacementRequest request,
      List<EngineListing> engines,
      Map<EngineId, EngineState> states,
      RandomGenerator random) {
    finished(request.requestId());
    Predicate<EngineListing> usable =
        engine ->
            !engine.leaving()
                && !engine.drained()
                && !request.excluded().contains(engine.engine())
                && inFlight.getOrDefault(engine.engine(), 0) < maxInFlightPerEngine;
    Predicate<EngineListing> prefills = engine -> serves(states, engine, EngineRole.PREFILL);
    Predicate<EngineListing> decodes = engine -> serves(states, engine, EngineRole.DECODE);
    Optional<EngineListing> decode = betterOfTwo(engines, usable.and(decodes), random);
    if (decode.isEmpty()) {
      return Optional.empty();
    }
    Optional<EngineListing> prefill = betterOfTwo(engines, usable.and(prefills), random);
    PlacementAnswer.Placed answer =
        new PlacementAnswer.Placed(
            pool, Epoch.NONE, prefill.map(LeaderlessPlacement::target), target(decode.get()));
    placed.put(request.requestId(), answer);
    count(answer, 1);
    return Optional.of(answer);
  }

  /** A request has ended; unknown ones are fine. Says whether it was placed here. */
  public boolean finished(RequestId requestId) {
    PlacementAnswer.Placed answer = placed.remove(requestId);
    if (answer != null) {
      count(answer, -1);
    }
    return answer != null;
  }

  /** Requests placed here and not ended. */
  public int inFlightCount() {
    return placed.size();
  }

  private void count(PlacementAnswer.Placed answer, int change) {
    count(answer.decode().engine(), change);
    answer.prefill().ifPresent(prefill -> count(prefill.engine(), change));
  }

  private void count(EngineId engine, int change) {
    inFlight.merge(engine, change, (old, add) -> old + add == 0 ? null : old + add);
  }

  private static boolean serves(
      Map<EngineId, EngineState> states, EngineListing listing, EngineRole role) {
    EngineState state = states.get(listing.engine());
    return state != null
        && state.activity() == EngineState.Activity.SERVING
        && !state.leaving()
        && state.role() == role;
  }

  private Optional<EngineListing> betterOfTwo(
      List<EngineListing> engines, Predicate<EngineListing> wanted, RandomGenerator random) {
    List<EngineListing> candidates = new ArrayList<>(engines);
    candidates.removeIf(wanted.negate());
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    EngineListing one = candidates.get(random.nextInt(candidates.size()));
    EngineListing other = candidates.get(random.nextInt(candidates.size()));
    int ofOne = inFlight.getOrDefault(one.engine(), 0);
    int ofOther = inFlight.getOrDefault(other.engine(), 0);
    return Optional.of(ofOther < ofOne ? other : one);
  }

  private static EngineTarget target(EngineListing listing) {
    return new EngineTarget(listing.engine(), listing.address());
  }
}
