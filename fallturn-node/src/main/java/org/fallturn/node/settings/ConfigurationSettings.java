package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;

/**
 * Distribution of the accepted configuration.
 *
 * @param watchInterval how often a watching node reads the head version
 * @param fetchTimeout how long a fetch from a peer may take
 * @param snapshotEvery accepted changes between two snapshots
 */
public record ConfigurationSettings(
    Duration watchInterval, Duration fetchTimeout, int snapshotEvery) {

  private static final SettingDefinition<Duration> WATCH_INTERVAL =
      SettingDefinition.duration(
          "configuration.watch_interval",
          Duration.ofMillis(500),
          Duration.ofMillis(50),
          Duration.ofSeconds(60),
          "How often a watching node reads the head version.");

  private static final SettingDefinition<Duration> FETCH_TIMEOUT =
      SettingDefinition.duration(
          "configuration.fetch_timeout",
          Duration.ofSeconds(2),
          Duration.ofMillis(50),
          Duration.ofSeconds(60),
          "How long a fetch from a peer may take.");

  private static final SettingDefinition<Integer> SNAPSHOT_EVERY =
      SettingDefinition.integer(
          "configuration.snapshot_every",
          100,
          1,
          1000000,
          "Accepted changes between two snapshots.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(WATCH_INTERVAL, FETCH_TIMEOUT, SNAPSHOT_EVERY);

  static ConfigurationSettings from(SettingValues values) {
    return new ConfigurationSettings(
        values.get(WATCH_INTERVAL), values.get(FETCH_TIMEOUT), values.get(SNAPSHOT_EVERY));
  }
}
