package org.fallturn.node.gateway;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.fallturn.core.dispatch.EndedSend;
import org.fallturn.core.dispatch.NotRunEvidence;
import org.fallturn.core.dispatch.RefusalCause;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;

/**
 * Metrics of a gateway in the Prometheus text format: counters of logged events by event and
 * detail, counters of refusals by cause and by evidence, latency histograms, and gauges of the
 * node's present state. All labels come from closed lists, so that the number of series is bounded.
 * Thread-safe. Written by hand, since the metrics library would lengthen a process's start.
 */
final class GatewayMetrics {

  private static final String EVENTS = "fallturn_gateway_events_total";
  private static final String REFUSALS = "fallturn_gateway_refusals_total";
  private static final String NOT_RUN = "fallturn_gateway_not_run_total";
  private static final String FIRST_PART = "fallturn_gateway_first_part_ms";
  private static final String WHOLE = "fallturn_gateway_whole_ms";
  private static final String WAITED = "fallturn_gateway_waited_ms";
  private static final String GAUGE_PREFIX = "fallturn_gateway_";

  private final Map<String, LongAdder> events = new ConcurrentHashMap<>();
  private final Map<RefusalCause, LongAdder> refusals = new ConcurrentHashMap<>();
  private final Map<NotRunEvidence, LongAdder> notRun = new ConcurrentHashMap<>();
  private final Map<String, LongSupplier> gauges = new ConcurrentHashMap<>();
  private final LatencyHistogram firstPart = new LatencyHistogram();
  private final LatencyHistogram whole = new LatencyHistogram();
  private final LatencyHistogram waited = new LatencyHistogram();
  private final DispatchMeter dispatch = new DispatchMeter();

  /**
   * Counts an event.
   *
   * @param detail label from a closed list, or empty
   */
  void count(LogEvent event, String detail) {
    String labels = "event=\"" + event + "\",detail=\"" + detail + "\"";
    events.computeIfAbsent(labels, key -> new LongAdder()).increment();
  }

  /** Counts a request that this node itself answered with an error. */
  void refused(RefusalCause cause) {
    refusals.computeIfAbsent(cause, key -> new LongAdder()).increment();
  }

  /**
   * Counts on what ground an answer of this node says that the request has not run, if it does.
   *
   * @param sends the sends of the request before
   */
  void answered(ErrorKind kind, List<EndedSend> sends) {
    if (kind.outcome() != Outcome.NOT_RUN) {
      return;
    }
    sends.stream().flatMap(send -> send.notRunEvidence().stream()).forEach(this::saidNotRun);
    if (sends.isEmpty()) {
      saidNotRun(NotRunEvidence.NO_SEND);
    }
  }

  private void saidNotRun(NotRunEvidence evidence) {
    notRun.computeIfAbsent(evidence, key -> new LongAdder()).increment();
  }

  /** Records the time from the arrival of a whole request to the first part of its answer. */
  void firstPart(long nanos) {
    firstPart.record(nanos);
  }

  /** Records the time from the arrival of a whole request to the end of its answer. */
  void whole(long nanos) {
    whole.record(nanos);
  }

  /** Records the time that a request waited at this node for room at an engine. */
  void waited(long nanos) {
    waited.record(nanos);
  }

  /** Measures the dispatch duty. */
  DispatchMeter dispatch() {
    return dispatch;
  }

  /**
   * Adds a gauge.
   *
   * @param name name without the prefix of all gauges
   * @param value read each time the metrics are
   */
  void gauge(String name, LongSupplier value) {
    gauges.put(GAUGE_PREFIX + name, value);
  }

  /** Returns all metrics in the Prometheus text format. */
  String text() {
    StringBuilder text = new StringBuilder();
    text.append("# TYPE ").append(EVENTS).append(" counter\n");
    new TreeMap<>(events)
        .forEach(
            (labels, count) ->
                text.append(EVENTS)
                    .append('{')
                    .append(labels)
                    .append("} ")
                    .append(count.sum())
                    .append('\n'));
    writeCounters(REFUSALS, "cause", refusals, text);
    writeCounters(NOT_RUN, "evidence", notRun, text);
    new TreeMap<>(gauges)
        .forEach(
            (name, value) -> {
              text.append("# TYPE ").append(name).append(" gauge\n");
              text.append(name).append(' ').append(value.getAsLong()).append('\n');
            });
    firstPart.write(FIRST_PART, text);
    whole.write(WHOLE, text);
    waited.write(WAITED, text);
    dispatch.write(text);
    return text.toString();
  }

  private static <E extends Enum<E>> void writeCounters(
      String name, String label, Map<E, LongAdder> counters, StringBuilder text) {
    text.append("# TYPE ").append(name).append(" counter\n");
    new TreeMap<>(counters)
        .forEach(
            (value, count) ->
                text.append(name)
                    .append('{')
                    .append(label)
                    .append("=\"")
                    .append(value)
                    .append("\"} ")
                    .append(count.sum())
                    .append('\n'));
  }
}
