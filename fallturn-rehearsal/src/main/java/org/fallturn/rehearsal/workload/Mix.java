package org.fallturn.rehearsal.workload;

import java.util.List;

/**
 * How often each traffic class sends.
 *
 * @param name its name in the workload file
 * @param requestsPerSecond one rate for each traffic class, in the order of the workload's classes
 */
public record Mix(String name, List<Double> requestsPerSecond) {
  /** A private copy of the rates. */
  public Mix {
    requestsPerSecond = List.copyOf(requestsPerSecond);
  }
}
