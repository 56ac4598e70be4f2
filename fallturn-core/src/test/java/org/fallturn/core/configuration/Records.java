package org.fallturn.core.configuration;

import java.time.Instant;
import java.util.List;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;

/** Valid records for tests. */
final class Records {

  private Records() {}

  static TenantRecord tenant(String name) {
    return tenant(name, 100);
  }

  static TenantRecord tenant(String name, double requestsPerSecond) {
    return new TenantRecord(new TenantName(name), requestsPerSecond, 10_000, 50, 100, 1);
  }

  static ServiceRecord service(String name) {
    return new ServiceRecord(
        new ServiceName(name),
        new ServiceRecord.ModelTarget(new ModelName("suggest-7b"), "", ""),
        true,
        5_000,
        60_000);
  }

  static RuleRecord rule(String tenant, String service) {
    return new RuleRecord(
        new TenantName(tenant), new ServiceName(service), 10, 1_000, Urgency.HIGH, "");
  }

  static ApiKeyRecord apiKey(String tenant, char digit) {
    return new ApiKeyRecord(hash(digit), new TenantName(tenant), "first");
  }

  static OperatorRecord operator(String name, char digit, OperatorRecord.Role role) {
    return new OperatorRecord(name, hash(digit), role);
  }

  static String hash(char digit) {
    return String.valueOf(digit).repeat(64);
  }

  static ConfigurationDelta delta(long version, ConfigurationRecord... puts) {
    return delta(version, "attempt-" + version, List.of(puts), List.of());
  }

  static ConfigurationDelta delta(
      long version, String attemptId, List<ConfigurationRecord> puts, List<RecordKey> removals) {
    return new ConfigurationDelta(
        version, attemptId, "ana", Instant.EPOCH, "a statement", puts, removals);
  }

  static ConfigurationImage image(ConfigurationRecord... puts) {
    return ConfigurationImage.EMPTY.apply(delta(1, puts));
  }
}
