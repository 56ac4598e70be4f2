package org.fallturn.node.admission;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.fallturn.core.admission.QuotaPart;

/** Meters of the tenant limits. Thread-safe. */
final class AdmissionMetrics {

  private final Counter admitted;
  private final Counter messages;
  private final Map<QuotaPart, Counter> refused = new EnumMap<>(QuotaPart.class);
  private final AtomicInteger ownedTenants;

  AdmissionMetrics(MeterRegistry registry) {
    admitted = registry.counter("fallturn.admission.admitted");
    messages = registry.counter("fallturn.admission.messages");
    for (QuotaPart part : QuotaPart.values()) {
      String name = part.name().toLowerCase(Locale.ROOT).replace('_', '-');
      refused.put(part, registry.counter("fallturn.admission.refused", "limit", name));
    }
    ownedTenants = registry.gauge("fallturn.admission.owned.tenants", new AtomicInteger());
  }

  void admitted() {
    admitted.increment();
  }

  void refused(QuotaPart part) {
    refused.get(part).increment();
  }

  void messageSent() {
    messages.increment();
  }

  void ownedTenants(int count) {
    ownedTenants.set(count);
  }
}
