package org.fallturn.rehearsal.modelcheck;

import java.util.List;

/**
 * A broken invariant with what is needed to see it again.
 *
 * @param scenario name of the scenario
 * @param seed the seed that shows it
 * @param invariant what was broken
 * @param detail how
 * @param trace the last events before it
 */
public record Violation(
    String scenario, long seed, Invariant invariant, String detail, List<String> trace) {

  /** A private copy of the trace. */
  public Violation {
    trace = List.copyOf(trace);
  }

  /** The report that is printed. */
  public String report() {
    StringBuilder text = new StringBuilder();
    text.append("VIOLATED ").append(invariant).append(" in ").append(scenario);
    text.append(", seed ").append(seed).append(": ").append(invariant.description());
    text.append("\n  ").append(detail).append('\n');
    for (String line : trace) {
      text.append("    ").append(line).append('\n');
    }
    return text.toString();
  }
}
