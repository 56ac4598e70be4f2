package org.fallturn.core.usage;

import java.util.Map;

/**
 * The counts of one window, ready to be reported. Immutable.
 *
 * @param window number of the window
 * @param counts requests that began to run in it, by tenant
 */
public record UsageReport(long window, Map<String, Long> counts) {

  /** A private copy. */
  public UsageReport {
    counts = Map.copyOf(counts);
  }
}
