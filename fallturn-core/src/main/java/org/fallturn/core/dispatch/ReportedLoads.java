package org.fallturn.core.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.pace.ServerLoad;

/**
 * Hands the loads that engines report from the client threads, which read the answers, to the
 * dispatch thread. Only the newest report of each engine is kept until it is taken. Thread-safe.
 */
public final class ReportedLoads {

  private final Map<String, Report> newest = new ConcurrentHashMap<>();

  private record Report(ServerLoad load, long atNanos) {}

  /**
   * Receives the reports. It must ignore a report that is older than another one it has received.
   */
  interface LoadConsumer {
    void take(String engineId, ServerLoad load, long reportedNanos);
  }

  /** Records the load that an engine reports. */
  public void onLoadReported(String engineId, ServerLoad load, long nowNanos) {
    newest.merge(
        engineId,
        new Report(load, nowNanos),
        (old, now) -> now.atNanos - old.atNanos >= 0 ? now : old);
  }

  /** Passes each report to a consumer once and removes it. */
  void takeAll(LoadConsumer consumer) {
    for (String engineId : newest.keySet()) {
      Report report = newest.remove(engineId);
      if (report != null) {
        consumer.take(engineId, report.load, report.atNanos);
      }
    }
  }
}
