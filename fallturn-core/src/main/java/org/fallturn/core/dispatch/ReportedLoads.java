package org.fallturn.core.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.pace.ServerLoad;

/**
 * What engines last said of their load, from the client threads that read their answers to the
 * dispatch thread. Of each engine only the newest word is kept until it is taken. Thread-safe.
 */
public final class ReportedLoads {

  private final Map<String, Said> newest = new ConcurrentHashMap<>();

  private record Said(ServerLoad load, long atNanos) {}

  /** Takes a word; words that waited for longer than another change nothing. */
  interface Taker {
    void take(String engineId, ServerLoad load, long saidNanos);
  }

  /** An engine says what it has. */
  public void onLoadReported(String engineId, ServerLoad load, long nowNanos) {
    newest.merge(
        engineId,
        new Said(load, nowNanos),
        (old, now) -> now.atNanos - old.atNanos >= 0 ? now : old);
  }

  /** Hands on each word once. */
  void takeAll(Taker taker) {
    for (String engineId : newest.keySet()) {
      Said said = newest.remove(engineId);
      if (said != null) {
        taker.take(engineId, said.load, said.atNanos);
      }
    }
  }
}
