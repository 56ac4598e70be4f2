package org.fallturn.rehearsal.modelcheck;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;

/** The last events of a simulation. Lines are built only when they are read. */
final class Trace {

  private static final int MAX_LINES = 40;

  private final Deque<Supplier<String>> lines = new ArrayDeque<>();

  void add(long nowNanos, Supplier<String> line) {
    if (lines.size() == MAX_LINES) {
      lines.removeFirst();
    }
    lines.addLast(() -> String.format("%9.3f s  %s", nowNanos / 1e9, line.get()));
  }

  List<String> lines() {
    return lines.stream().map(Supplier::get).toList();
  }
}
