package org.fallturn.core.roles;

import java.util.List;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.roles.EngineObservation.Availability;

/**
 * How a pool's engines are divided, counting an engine that changes its role as having the new one
 * and leaving out engines that are unavailable.
 *
 * @param prefill engines that prefill, or will once their change is done
 * @param decode engines that decode, or will once their change is done
 * @param servingPrefill engines that prefill now
 * @param servingDecode engines that decode now
 * @param changing engines that drain for a change or make it
 */
record RoleCounts(int prefill, int decode, int servingPrefill, int servingDecode, int changing) {

  static RoleCounts of(List<EngineObservation> engines) {
    int servingPrefill = count(engines, EngineRole.PREFILL, true);
    int servingDecode = count(engines, EngineRole.DECODE, true);
    int toPrefill = count(engines, EngineRole.PREFILL, false);
    int toDecode = count(engines, EngineRole.DECODE, false);
    return new RoleCounts(
        servingPrefill + toPrefill,
        servingDecode + toDecode,
        servingPrefill,
        servingDecode,
        toPrefill + toDecode);
  }

  private static int count(List<EngineObservation> engines, EngineRole role, boolean serving) {
    int count = 0;
    for (EngineObservation engine : engines) {
      boolean isServing = engine.availability() == Availability.SERVING;
      boolean isAway = engine.availability() == Availability.UNAVAILABLE;
      if (engine.role() == role && !isAway && isServing == serving) {
        count++;
      }
    }
    return count;
  }

  int serving(EngineRole role) {
    return role == EngineRole.PREFILL ? servingPrefill : servingDecode;
  }
}
