package org.fallturn.node.gateway;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.fallturn.node.duty.DutyMeter;

/**
 * Measures the dispatch duty for the metrics: how long events wait for it, how late its ticks are,
 * and which kinds of events take its time. The duty's thread records; any thread reads.
 */
final class DispatchMeter implements DutyMeter<DispatchEvent> {

  private static final String WAIT = "fallturn_gateway_dispatch_wait_ms";
  private static final String TICK_LATE = "fallturn_gateway_dispatch_tick_late_ms";
  private static final String BUSY = "fallturn_gateway_dispatch_busy_us_total";
  private static final String TICK = "Tick";

  private final LatencyHistogram wait = new LatencyHistogram();
  private final LatencyHistogram tickLate = new LatencyHistogram();
  private final Map<String, LongAdder> busyNanos = new ConcurrentHashMap<>();

  @Override
  public void onEvent(DispatchEvent event, long waitedNanos, long tookNanos) {
    wait.record(waitedNanos);
    addBusy(event.getClass().getSimpleName(), tookNanos);
  }

  @Override
  public void onTick(long lateNanos, long tookNanos) {
    tickLate.record(lateNanos);
    addBusy(TICK, tookNanos);
  }

  private void addBusy(String kind, long nanos) {
    busyNanos.computeIfAbsent(kind, known -> new LongAdder()).add(nanos);
  }

  /** Appends the measurements in the Prometheus text format. */
  void write(StringBuilder text) {
    wait.write(WAIT, text);
    tickLate.write(TICK_LATE, text);
    text.append("# TYPE ").append(BUSY).append(" counter\n");
    new TreeMap<>(busyNanos)
        .forEach(
            (kind, nanos) ->
                text.append(BUSY)
                    .append("{event=\"")
                    .append(kind)
                    .append("\"} ")
                    .append(TimeUnit.NANOSECONDS.toMicros(nanos.sum()))
                    .append('\n'));
  }
}
