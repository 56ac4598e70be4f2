package org.fallturn.rehearsal.faultload;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * When unplanned faults were in force, so that a cut can be laid at the door of one, or else of a
 * planned change. Thread-safe.
 */
final class FaultWindows {

  private final List<Window> windows = new ArrayList<>();
  private final Map<FaultKind, Integer> injected = new EnumMap<>(FaultKind.class);

  private record Window(long fromNanos, long toNanos) {}

  synchronized void add(FaultKind kind, long fromNanos, long toNanos) {
    injected.merge(kind, 1, Integer::sum);
    if (!kind.planned()) {
      windows.add(new Window(fromNanos, toNanos));
    }
  }

  /** Whether an unplanned fault was in force at any moment of a call. */
  synchronized boolean touches(long fromNanos, long toNanos) {
    return windows.stream()
        .anyMatch(window -> window.fromNanos() - toNanos <= 0 && fromNanos - window.toNanos() <= 0);
  }

  synchronized Map<FaultKind, Integer> injected() {
    return new EnumMap<>(injected);
  }
}
