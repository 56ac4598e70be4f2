package org.fallturn.core.dispatch;

import java.util.Optional;
import org.fallturn.core.routing.EngineProfile;
import org.fallturn.core.routing.ServingEngine;

/**
 * What it takes to copy cached parts of a prompt from one engine to another instead of reading them
 * again. Pure.
 */
final class CacheCopyTime {

  private static final double MEGABITS_PER_BYTE = 8e-6;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double SETUP_MILLIS = 6;
  private static final int OTHER_ZONE_FACTOR = 2;

  private CacheCopyTime() {}

  /** Time in ms to move so many tokens within a zone, without its setup. */
  static double moveMillis(long tokens, Optional<EngineProfile> profile) {
    if (profile.isEmpty() || profile.get().linkMegabitsPerSecond() <= 0) {
      return 0;
    }
    double megabits = tokens * profile.get().tokenBytes() * MEGABITS_PER_BYTE;
    return MILLIS_PER_SECOND * megabits / profile.get().linkMegabitsPerSecond();
  }

  /** Time in ms to copy so many tokens between two engines. */
  static double copyMillis(
      long tokens, ServingEngine from, ServingEngine to, Optional<EngineProfile> profile) {
    int factor = from.zone().equals(to.zone()) ? 1 : OTHER_ZONE_FACTOR;
    return SETUP_MILLIS + factor * moveMillis(tokens, profile);
  }
}
