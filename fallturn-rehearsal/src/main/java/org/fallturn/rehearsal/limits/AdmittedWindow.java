package org.fallturn.rehearsal.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/** Most requests admitted in any window of a length. */
final class AdmittedWindow {

  private final double seconds;
  private final Deque<Double> recent = new ArrayDeque<>();
  private int most;

  AdmittedWindow(double seconds) {
    this.seconds = seconds;
  }

  void admitted(double atSeconds) {
    recent.addLast(atSeconds);
    while (recent.getFirst() <= atSeconds - seconds) {
      recent.removeFirst();
    }
    most = Math.max(most, recent.size());
  }

  int most() {
    return most;
  }
}
