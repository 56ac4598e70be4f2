package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;

/**
 * Placement of requests on engines.
 *
 * @param answerTimeout how long a node waits for the leader before it places from its last digest
 * @param reportInterval how often the leader reads an engine's state; load and cache events half as
 *     often
 * @param digestInterval how often the leader tells the zone its digest
 */
public record PlacementSettings(
    Duration answerTimeout, Duration reportInterval, Duration digestInterval) {

  private static final SettingDefinition<Duration> ANSWER_TIMEOUT =
      SettingDefinition.duration(
          "placement.answer_timeout",
          Duration.ofMillis(250),
          Duration.ofMillis(5),
          Duration.ofSeconds(30),
          "How long a node waits for the leader before it places from its last digest.");

  private static final SettingDefinition<Duration> REPORT_INTERVAL =
      SettingDefinition.duration(
          "placement.report_interval",
          Duration.ofSeconds(2),
          Duration.ofMillis(20),
          Duration.ofSeconds(30),
          "How often the leader reads an engine's state; load and cache events half as often.");

  private static final SettingDefinition<Duration> DIGEST_INTERVAL =
      SettingDefinition.duration(
          "placement.digest_interval",
          Duration.ofSeconds(1),
          Duration.ofMillis(50),
          Duration.ofSeconds(60),
          "How often the leader tells the zone its digest.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(ANSWER_TIMEOUT, REPORT_INTERVAL, DIGEST_INTERVAL);

  static PlacementSettings from(SettingValues values) {
    return new PlacementSettings(
        values.get(ANSWER_TIMEOUT), values.get(REPORT_INTERVAL), values.get(DIGEST_INTERVAL));
  }
}
