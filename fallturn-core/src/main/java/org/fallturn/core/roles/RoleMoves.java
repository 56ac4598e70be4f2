package org.fallturn.core.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.roles.EngineObservation.Availability;

/**
 * Turns a wanted number of prefill engines into changes that keep the operators' floors and the
 * bound on engines that change at once. Pure; every role policy goes through it.
 */
public final class RoleMoves {
  private static final Comparator<EngineObservation> LEAST_WORK_FIRST =
      Comparator.comparingLong(
              (EngineObservation engine) ->
                  engine.inFlightPromptTokens() + engine.inFlightOutputTokens())
          .thenComparing(EngineObservation::engine);

  private RoleMoves() {}

  /** Changes to begin now so that the pool comes nearer to a number of prefill engines. */
  public static List<RoleChange> towards(
      int wantedPrefill, List<EngineObservation> engines, PoolPolicyRecord policy) {
    return towards(wantedPrefill, engines, RoleCounts.of(engines), policy);
  }

  static List<RoleChange> towards(
      int wantedPrefill,
      List<EngineObservation> engines,
      RoleCounts counts,
      PoolPolicyRecord policy) {
    int difference = wantedPrefill - counts.prefill();
    EngineRole from = difference > 0 ? EngineRole.DECODE : EngineRole.PREFILL;
    EngineRole to = difference > 0 ? EngineRole.PREFILL : EngineRole.DECODE;
    int floor = from == EngineRole.PREFILL ? policy.minPrefill() : policy.minDecode();
    int allowed = Math.min(policy.maxChanging() - counts.changing(), counts.serving(from) - floor);
    int moves = Math.min(Math.abs(difference), allowed);
    List<RoleChange> changes = new ArrayList<>();
    if (moves > 0) {
      engines.stream()
          .filter(engine -> engine.role() == from)
          .filter(engine -> engine.availability() == Availability.SERVING)
          .sorted(LEAST_WORK_FIRST)
          .limit(moves)
          .forEach(engine -> changes.add(new RoleChange(engine.engine(), to)));
    }
    return changes;
  }
}
