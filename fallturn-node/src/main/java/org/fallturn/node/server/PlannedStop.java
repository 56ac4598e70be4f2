package org.fallturn.node.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fallturn.node.metrics.NodeHealth;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The order of a planned stop: the node turns not ready, every part announces the stop in the order
 * of registration (no new work, out of the membership, leases handed over), then the stop waits
 * until every part is idle. Nothing is cut unless the timeout passes. Parts are registered on the
 * starting thread; {@link #run} is called once, on any thread.
 */
public final class PlannedStop {

  private static final Logger LOG = LoggerFactory.getLogger(PlannedStop.class);
  private static final long CHECK_MILLIS = 10;

  private final NodeHealth health;
  private final List<Part> parts = new ArrayList<>();

  private record Part(String name, Runnable announce, BooleanSupplier idle) {}

  PlannedStop(NodeHealth health) {
    this.health = health;
  }

  /**
   * Adds a part.
   *
   * @param name for the log
   * @param announce tells it to stop taking work; must return soon
   * @param idle whether it has nothing left in progress
   */
  public synchronized void add(String name, Runnable announce, BooleanSupplier idle) {
    parts.add(new Part(name, announce, idle));
  }

  /**
   * Announces the stop and waits until every part is idle.
   *
   * @return whether every part became idle within the timeout
   */
  synchronized boolean run(Duration timeout) throws InterruptedException {
    health.stop();
    LOG.info("node: A planned stop begins.");
    parts.forEach(PlannedStop::announce);
    long deadline = System.nanoTime() + timeout.toNanos();
    for (Part part : parts) {
      if (!awaitIdle(part, deadline)) {
        LOG.warn("node: {} was still busy when the stop timeout passed.", part.name());
        return false;
      }
    }
    return true;
  }

  private static void announce(Part part) {
    try {
      part.announce().run();
    } catch (RuntimeException e) {
      LOG.warn("node: {} could not announce the stop.", part.name(), e);
    }
  }

  private static boolean awaitIdle(Part part, long deadline) throws InterruptedException {
    while (!part.idle().getAsBoolean()) {
      if (System.nanoTime() - deadline > 0) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
    return true;
  }
}
