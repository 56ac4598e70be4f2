package org.fallturn.core.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.pace.ServerLoad;

/**
 * Passes the loads that engines report in their answers from the client threads to the dispatch
 * thread. Only the newest report of each engine is kept until it is taken. Thread-safe.
 */
public final class ReportedLoads {

  private final Map<String, Report> newest = new ConcurrentHashMap<>();

  private record Report(ServerLoad load, long atNanos) {}

  /**
   * Receives the reports. A client thread may record a report late, so that it is passed after a
   * newer one of the same engine. Such a report should change nothing.
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
