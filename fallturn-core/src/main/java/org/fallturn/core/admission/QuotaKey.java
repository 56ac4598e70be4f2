package org.fallturn.core.admission;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Optional;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.RuleRecord;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;

/**
 * Names one limit: a tenant's own, or that of a rule for one service. Text form {@code tenant} or
 * {@code tenant/service}.
 *
 * @param value the text form
 */
public record QuotaKey(@JsonValue String value) {

  private static final double UNLIMITED = 1e9;

  /** Reads the text form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public QuotaKey {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException("quota key must not be blank");
    }
  }

  /** The limit of a tenant as a whole. */
  public static QuotaKey of(TenantName tenant) {
    return new QuotaKey(tenant.value());
  }

  /** The limit of a tenant's use of one service. */
  public static QuotaKey of(TenantName tenant, ServiceName service) {
    return new QuotaKey(tenant.value() + "/" + service.value());
  }

  /** The tenant part; all keys of a tenant have the same owner. */
  public String tenant() {
    int slash = value.indexOf('/');
    return slash < 0 ? value : value.substring(0, slash);
  }

  /** The limit in force under a configuration; empty when there is none. */
  public Optional<QuotaAmounts> limit(ConfigurationImage image) {
    if (value.indexOf('/') < 0) {
      return Optional.ofNullable(image.tenants().get(value)).map(QuotaKey::limitOf);
    }
    return Optional.ofNullable(image.rules().get(value)).map(QuotaKey::limitOf);
  }

  private static QuotaAmounts limitOf(TenantRecord tenant) {
    return new QuotaAmounts(
        tenant.requestsPerSecond(),
        tenant.tokensPerSecond(),
        tenant.maxConcurrent(),
        tenant.maxQueued());
  }

  private static QuotaAmounts limitOf(RuleRecord rule) {
    return new QuotaAmounts(rule.requestsPerSecond(), rule.tokensPerSecond(), UNLIMITED, UNLIMITED);
  }
}
