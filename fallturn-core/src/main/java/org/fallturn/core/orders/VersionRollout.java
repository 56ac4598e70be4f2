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
 * Picks the engines of one pool that should load the version the operators want, a few at a time
 * and from the role that has the most engines left. Owned by one thread.
 */
public final class VersionRollout {

  private static final int SHARE_OF_POOL = 8;

  private final Map<EngineId, EngineState> states = new HashMap<>();

  /** Takes over which engines the pool has. */
  public void onEngines(Set<EngineId> present) {
    states.keySet().retainAll(present);
  }

  /** An engine has told its state. */
  public void onState(EngineState state) {
    states.put(state.engine(), state);
  }

  /** Last state an engine told. */
  public Optional<EngineState> state(EngineId engine) {
    return Optional.ofNullable(states.get(engine));
  }

  /**
   * The next engine to drain and load; empty for none now.
   *
   * @param target the version wanted; empty leaves every engine as it is
   * @param busy engines that are drained or ordered already, for whatever reason
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
    return Math.max(1, states.size() / SHARE_OF_POOL);
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
