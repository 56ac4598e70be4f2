package org.fallturn.core.dispatch;

import java.util.Optional;
import org.fallturn.core.routing.EngineProfile;
import org.fallturn.core.routing.ServingEngine;

/**
 * Estimates how long it takes to copy cached parts of a prompt from one engine to another, which
 * saves the receiving engine from reading (prefilling) them again. Stateless.
 */
final class CacheCopyTime {

  private static final double MEGABITS_PER_BYTE = 8e-6;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double SETUP_MILLIS = 6;
  private static final int OTHER_ZONE_FACTOR = 2;

  private CacheCopyTime() {}

  /**
   * Returns the time in ms that the link takes to transfer the KV cache of some tokens within a
   * zone, without the setup of the copy; 0 if the link's bandwidth is not known.
   *
   * @param tokens length of the copied parts in tokens
   * @param profile bandwidth of the link and bytes per token
   */
  static double moveMillis(long tokens, Optional<EngineProfile> profile) {
    if (profile.isEmpty() || profile.get().linkMegabitsPerSecond() <= 0) {
      return 0;
    }
    double megabits = tokens * profile.get().tokenBytes() * MEGABITS_PER_BYTE;
    return MILLIS_PER_SECOND * megabits / profile.get().linkMegabitsPerSecond();
  }

  /**
   * Returns the time in ms to copy the KV cache of some tokens between two engines, including the
   * setup of the copy.
   *
   * @param tokens length of the copied parts in tokens
   * @param profile bandwidth of the link and bytes per token
   */
  static double copyMillis(
      long tokens, ServingEngine from, ServingEngine to, Optional<EngineProfile> profile) {
    int factor = from.zone().equals(to.zone()) ? 1 : OTHER_ZONE_FACTOR;
    return SETUP_MILLIS + factor * moveMillis(tokens, profile);
  }
}
