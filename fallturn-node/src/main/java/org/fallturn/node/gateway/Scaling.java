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
 * The dispatch duty's part in ordering engines: plans only while this node leads, has done so for a
 * while, and knows the list of engines to be new. Only the dispatch thread calls.
 */
final class Scaling {

  /** A node that has just started takes itself for the leader until it hears of others. */
  private static final long LEADS_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final ScaleControl control;
  private final BooleanSupplier listIsNew;
  private final Consumer<ScaleAction> wishes;
  private boolean led;
  private long leadsSinceNanos;

  /**
   * Scaling that has ordered nothing.
   *
   * @param listIsNew whether the list of engines was confirmed lately
   * @param wishes takes what is to be done, over and over until it was answered
   */
  Scaling(ScaleControl control, BooleanSupplier listIsNew, Consumer<ScaleAction> wishes) {
    this.control = control;
    this.listIsNew = listIsNew;
    this.wishes = wishes;
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

  void onAnswer(ScaleOrder order, DutyOutcome outcome, long nowNanos) {
    control.onAnswer(order, outcome, nowNanos);
  }

  void onTick(boolean leads, long nowNanos) {
    if (leads && !led) {
      leadsSinceNanos = nowNanos;
    }
    led = leads;
    if (leads && nowNanos - leadsSinceNanos >= LEADS_NANOS && listIsNew.getAsBoolean()) {
      control.wanted(nowNanos).ifPresent(wishes);
    }
  }
}
