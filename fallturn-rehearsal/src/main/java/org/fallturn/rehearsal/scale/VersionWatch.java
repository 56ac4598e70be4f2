package org.fallturn.rehearsal.scale;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Notes when each node first had each configuration version in force, by looking every {@value
 * #PERIOD_MILLIS} ms.
 */
final class VersionWatch implements AutoCloseable {

  private static final long PERIOD_MILLIS = 20;

  private final Map<String, HollowNode> nodes;
  private final Map<String, TreeMap<Long, Long>> firstMillis = new HashMap<>();
  private volatile boolean closed;

  VersionWatch(Map<String, HollowNode> nodes) {
    this.nodes = nodes;
  }

  void start() {
    Thread thread = new Thread(this::watch, "version-watch");
    thread.setDaemon(true);
    thread.start();
  }

  synchronized HollowMessages.InForce inForce() {
    Map<String, Map<Long, Long>> copy = new HashMap<>();
    firstMillis.forEach((node, times) -> copy.put(node, new TreeMap<>(times)));
    return new HollowMessages.InForce(copy);
  }

  /** Drops what was noted of a node that stops, because it will not see later versions. */
  synchronized void forget(String node) {
    firstMillis.remove(node);
  }

  @Override
  public void close() {
    closed = true;
  }

  private void watch() {
    while (!closed) {
      look();
      try {
        TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void look() {
    long now = System.currentTimeMillis();
    for (HollowNode node : nodes.values()) {
      TreeMap<Long, Long> times = firstMillis.computeIfAbsent(node.name(), name -> new TreeMap<>());
      times.putIfAbsent(node.parts().configuration().version(), now);
    }
  }
}
