package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What the other nodes last said they have at each engine. A node that has said nothing for a while
 * counts as having nothing, so that the loss of a node does not leave load behind. One thread
 * calls.
 */
public final class PeerLoads {

  private static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** One node alone may merely have lost its own way to the engine. */
  private static final int SUSPECTING_NODES = 2;

  private final Map<String, Heard> heardByNode = new HashMap<>();

  /** Takes a digest; one that is older than the last from the same process is dropped. */
  public void onDigest(LoadDigest digest, long nowNanos) {
    Heard before = heardByNode.get(digest.node());
    boolean outdated = before != null && before.digest.isNewerThan(digest);
    if (outdated && before.fresh(nowNanos)) {
      return;
    }
    heardByNode.put(digest.node(), new Heard(digest, nowNanos));
  }

  /** Requests that the other nodes have at an engine. */
  int running(String engineId, long nowNanos) {
    int sum = 0;
    for (Heard heard : heardByNode.values()) {
      EngineDigest engine = heard.digest.engines().get(engineId);
      if (engine != null && heard.fresh(nowNanos)) {
        sum += engine.running();
      }
    }
    return sum;
  }

  /** Whether several other nodes have suspended the engine. */
  boolean suspects(String engineId, long nowNanos) {
    int count = 0;
    for (Heard heard : heardByNode.values()) {
      EngineDigest engine = heard.digest.engines().get(engineId);
      if (engine != null && engine.suspended() && heard.fresh(nowNanos)) {
        count++;
      }
    }
    return count >= SUSPECTING_NODES;
  }

  /** Prompt tokens that the other nodes have waiting at an engine. */
  long prefillTokens(String engineId, long nowNanos) {
    long sum = 0;
    for (Heard heard : heardByNode.values()) {
      EngineDigest engine = heard.digest.engines().get(engineId);
      if (engine != null && heard.fresh(nowNanos)) {
        sum += engine.prefillTokens();
      }
    }
    return sum;
  }

  private record Heard(LoadDigest digest, long atNanos) {

    boolean fresh(long nowNanos) {
      return nowNanos - atNanos < LIFETIME_NANOS;
    }
  }
}
