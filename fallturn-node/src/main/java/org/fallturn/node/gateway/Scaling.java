package org.fallturn.node.gateway;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.ServiceDefinition;
import org.fallturn.core.scaling.ScaleAction;
import org.fallturn.core.scaling.ScaleControl;
import org.fallturn.core.scaling.ScaleOrder;
import org.fallturn.core.usage.DutyOutcome;

/**
 * The part of engine scaling that runs on the dispatch thread, the only one that may call. It plans
 * only while this node leads, has led for a while, and has a fresh list of engines.
 */
final class Scaling {

  /** A node that has just started takes itself for the leader until it hears of other nodes. */
  private static final long MIN_LEADING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final ScaleControl control;
  private final BooleanSupplier listIsFresh;
  private final Consumer<ScaleAction> actions;
  private boolean led;
  private long leadsSinceNanos;

  /**
   * Scaling that has ordered nothing.
   *
   * @param listIsFresh whether the list of engines was confirmed recently
   * @param actions takes the next action, again at each tick until its answer arrives
   */
  Scaling(ScaleControl control, BooleanSupplier listIsFresh, Consumer<ScaleAction> actions) {
    this.control = control;
    this.listIsFresh = listIsFresh;
    this.actions = actions;
  }

  void setDirectory(EngineDirectory directory) {
    control.setDirectory(directory);
  }

  void setServices(Collection<ServiceDefinition> services) {
    control.setServices(services);
  }

  void onInitialCounts(String service, Map<String, Integer> byZone) {
    control.onInitialCounts(service, byZone);
  }

  void onStoreRestored() {
    control.onStoreRestored();
  }

  void onAnswer(ScaleOrder order, DutyOutcome outcome, long nowNanos) {
    control.onAnswer(order, outcome, nowNanos);
  }

  void onTick(boolean leads, long nowNanos) {
    if (leads && !led) {
      leadsSinceNanos = nowNanos;
    }
    led = leads;
    if (leads && nowNanos - leadsSinceNanos >= MIN_LEADING_NANOS && listIsFresh.getAsBoolean()) {
      control.wanted(nowNanos).ifPresent(actions);
    }
  }
}
