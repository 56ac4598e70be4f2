package org.fallturn.core.orders;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.port.engine.EngineState;

/**
 * Chooses the engines of one pool that load the version that the operators want, a few at a time
 * and from the role with the most serving engines. Owned by one thread.
 */
public final class VersionRollout {

  /** One engine out of this number may be unavailable at a time, and always at least one. */
  private static final int ENGINES_PER_LOAD = 8;

  private final Map<EngineId, EngineState> states = new HashMap<>();

  /** Updates the set of engines of the pool. */
  public void onEngines(Set<EngineId> present) {
    states.keySet().retainAll(present);
  }

  /** Takes the state that an engine has reported. */
  public void onState(EngineState state) {
    states.put(state.engine(), state);
  }

  /** Returns the last state that an engine has reported. */
  public Optional<EngineState> state(EngineId engine) {
    return Optional.ofNullable(states.get(engine));
  }

  /**
   * Returns the next engine to drain and load; empty when there is none now.
   *
   * @param target the wanted version; when it is empty, no engine changes
   * @param busy engines that are already being drained or have an order in progress, for whatever
   *     reason
   */
  public Optional<EngineId> next(String target, Set<EngineId> busy) {
    if (target.isEmpty() || unavailable(busy) >= allowedAtOnce()) {
      return Optional.empty();
    }
    Comparator<EngineState> byRoleSize =
        Comparator.comparingLong((EngineState state) -> serving(state.role(), busy)).reversed();
    return states.values().stream()
        .filter(state -> isServing(state, busy))
        .filter(state -> !state.modelVersion().equals(target))
        .min(byRoleSize.thenComparing(EngineState::engine))
        .map(EngineState::engine);
  }

  private int allowedAtOnce() {
    return Math.max(1, states.size() / ENGINES_PER_LOAD);
  }

  private long unavailable(Set<EngineId> busy) {
    return states.values().stream()
        .filter(state -> !state.leaving())
        .filter(state -> !isServing(state, busy))
        .count();
  }

  private long serving(EngineRole role, Set<EngineId> busy) {
    return states.values().stream()
        .filter(state -> state.role() == role)
        .filter(state -> isServing(state, busy))
        .count();
  }

  private static boolean isServing(EngineState state, Set<EngineId> busy) {
    return state.activity() == EngineState.Activity.SERVING
        && !state.leaving()
        && !busy.contains(state.engine());
  }
}
