package org.fallturn.node.lease;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counts what became of orders and fences. Thread-safe. */
final class OrderCounters {

  private static final String NAME = "fallturn.engine.orders";

  private final Counter sent;
  private final Counter refused;
  private final Counter stopped;
  private final Counter unanswered;

  OrderCounters(MeterRegistry registry) {
    sent = counter(registry, "sent");
    refused = counter(registry, "refused");
    stopped = counter(registry, "lease-run-out");
    unanswered = counter(registry, "unanswered");
  }

  private static Counter counter(MeterRegistry registry, String result) {
    return Counter.builder(NAME)
        .description("Orders and fences to engines by result.")
        .tag("result", result)
        .register(registry);
  }

  void sent() {
    sent.increment();
  }

  void refused() {
    refused.increment();
  }

  void stopped() {
    stopped.increment();
  }

  void unanswered() {
    unanswered.increment();
  }
}
