package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;

/**
 * Tenant limits over the fleet.
 *
 * @param shareDuration how long a share of a tenant's limits holds without renewal
 * @param shareInterval how often shares are asked for anew
 */
public record AdmissionSettings(Duration shareDuration, Duration shareInterval) {

  private static final SettingDefinition<Duration> SHARE_DURATION =
      SettingDefinition.duration(
          "admission.share_duration",
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofMinutes(5),
          "How long a share of a tenant's limits holds without renewal.");

  private static final SettingDefinition<Duration> SHARE_INTERVAL =
      SettingDefinition.duration(
          "admission.share_interval",
          Duration.ofSeconds(1),
          Duration.ofMillis(50),
          Duration.ofMinutes(1),
          "How often shares are asked for anew.");

  static final List<SettingDefinition<?>> DEFINITIONS = List.of(SHARE_DURATION, SHARE_INTERVAL);

  static AdmissionSettings from(SettingValues values) {
    return new AdmissionSettings(values.get(SHARE_DURATION), values.get(SHARE_INTERVAL));
  }
}
