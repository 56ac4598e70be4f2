package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.stages.StageParameters;

/**
 * When model engines are ordered to change between reading prompts and decoding.
 *
 * @param enabled whether they ever are
 * @param leastShare share of a service's engines that each of the two keeps
 * @param leaseTerm how long the right to give orders lasts
 * @param leaseQuiet least time between orders of two nodes
 */
public record StageSettings(
    boolean enabled, double leastShare, Duration leaseTerm, Duration leaseQuiet) {

  /** Beyond what the operators ask for. */
  private static final Duration QUIET_MARGIN = Duration.ofSeconds(1);

  private static final SettingDefinition<Boolean> ENABLED =
      SettingDefinition.flag(
          "stages.enabled", true, "Whether engines are ordered to change their stage.");

  private static final SettingDefinition<Double> LEAST_SHARE =
      SettingDefinition.decimal(
          "stages.least_share", 0.2, 0, 0.5, "Share of the engines that each stage keeps.");

  private static final SettingDefinition<Duration> LEASE_TERM =
      SettingDefinition.duration(
          "stages.lease_term",
          Duration.ofSeconds(2),
          Duration.ofMillis(500),
          Duration.ofMinutes(1),
          "How long the right to give orders lasts.");

  private static final SettingDefinition<Duration> LEASE_QUIET =
      SettingDefinition.duration(
          "stages.lease_quiet",
          Duration.ofSeconds(3),
          Duration.ZERO,
          Duration.ofMinutes(1),
          "Least time between orders of two nodes.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(ENABLED, LEAST_SHARE, LEASE_TERM, LEASE_QUIET);

  static StageSettings from(SettingValues values) {
    return new StageSettings(
        values.get(ENABLED),
        values.get(LEAST_SHARE),
        values.get(LEASE_TERM),
        values.get(LEASE_QUIET));
  }

  StageParameters parameters() {
    return new StageParameters(enabled, leastShare, leaseTerm, leaseQuiet.plus(QUIET_MARGIN));
  }
}
