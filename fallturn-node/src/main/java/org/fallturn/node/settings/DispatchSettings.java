package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;

/**
 * Constants of the dispatcher of a gateway process.
 *
 * @param prefillTokensPerMilli reading speed that is assumed
 * @param minRetryAfter shortest advice on when to come back
 * @param learnsPace whether the pace of each engine is learned and gone by
 */
public record DispatchSettings(
    double prefillTokensPerMilli, Duration minRetryAfter, boolean learnsPace) {

  private static final SettingDefinition<Double> PREFILL_SPEED =
      SettingDefinition.decimal(
          "dispatch.prefill_tokens_per_ms", 40, 0.001, 1e6, "Reading speed that is assumed.");

  private static final SettingDefinition<Duration> MIN_RETRY_AFTER =
      SettingDefinition.duration(
          "dispatch.min_retry_after",
          Duration.ofMillis(200),
          Duration.ofMillis(1),
          Duration.ofMinutes(1),
          "Shortest advice on when to come back.");

  private static final SettingDefinition<Boolean> LEARN_PACE =
      SettingDefinition.flag(
          "dispatch.learn_pace", false, "Learn how fast each engine works, and go by it.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(PREFILL_SPEED, MIN_RETRY_AFTER, LEARN_PACE);

  static DispatchSettings from(SettingValues values) {
    return new DispatchSettings(
        values.get(PREFILL_SPEED), values.get(MIN_RETRY_AFTER), values.get(LEARN_PACE));
  }
}
