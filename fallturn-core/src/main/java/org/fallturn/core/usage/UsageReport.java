package org.fallturn.core.usage;

import java.util.Map;

/**
 * The counts of one window over the whole fleet, as they are reported to the platform. Immutable.
 *
 * @param window number of the window
 * @param counts numbers of requests that began to run in it, by tenant
 */
public record UsageReport(long window, Map<String, Long> counts) {

  /** Copies the counts. */
  public UsageReport {
    counts = Map.copyOf(counts);
  }
}
