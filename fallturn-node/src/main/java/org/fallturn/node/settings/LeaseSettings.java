package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;

/**
 * Leadership of pools.
 *
 * @param duration how long a lease holds without renewal
 * @param renewInterval how often the leases of this node are renewed, in one batch
 * @param safetyMargin how long before its end the holder stops using a lease; covers clocks that
 *     run at unequal rates
 * @param orderTimeout how long an order to an engine may take
 */
public record LeaseSettings(
    Duration duration, Duration renewInterval, Duration safetyMargin, Duration orderTimeout) {

  private static final SettingDefinition<Duration> DURATION =
      SettingDefinition.duration(
          "lease.duration",
          Duration.ofSeconds(6),
          Duration.ofMillis(200),
          Duration.ofMinutes(10),
          "How long a lease holds without renewal.");

  private static final SettingDefinition<Duration> RENEW_INTERVAL =
      SettingDefinition.duration(
          "lease.renew_interval",
          Duration.ofSeconds(2),
          Duration.ofMillis(50),
          Duration.ofMinutes(5),
          "How often the leases of this node are renewed, in one batch.");

  private static final SettingDefinition<Duration> SAFETY_MARGIN =
      SettingDefinition.duration(
          "lease.safety_margin",
          Duration.ofMillis(500),
          Duration.ZERO,
          Duration.ofSeconds(60),
          "How long before its end the holder stops using a lease; covers clocks that run at unequal rates.");

  private static final SettingDefinition<Duration> ORDER_TIMEOUT =
      SettingDefinition.duration(
          "lease.order_timeout",
          Duration.ofSeconds(2),
          Duration.ofMillis(50),
          Duration.ofSeconds(60),
          "How long an order to an engine may take.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(DURATION, RENEW_INTERVAL, SAFETY_MARGIN, ORDER_TIMEOUT);

  static LeaseSettings from(SettingValues values) {
    return new LeaseSettings(
        values.get(DURATION),
        values.get(RENEW_INTERVAL),
        values.get(SAFETY_MARGIN),
        values.get(ORDER_TIMEOUT));
  }
}
