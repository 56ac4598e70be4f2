package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.waiting.WaitingParameters;

/**
 * Constants of the dispatcher of a gateway process.
 *
 * @param prefillTokensPerMilli reading speed that is assumed
 * @param minRetryAfter shortest advice on when to come back
 * @param waiting what is decided on requests that compete for room
 * @param learnsPace whether the pace of each engine is learned and gone by
 */
public record DispatchSettings(
    double prefillTokensPerMilli,
    Duration minRetryAfter,
    WaitingParameters waiting,
    boolean learnsPace) {

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

  private static final SettingDefinition<Boolean> EVEN_FILL =
      SettingDefinition.flag(
          "dispatch.even_fill",
          true,
          "Whether nodes that know the same divide application requests over the engines.");

  private static final SettingDefinition<Boolean> WAIT_FOR_ROOM =
      SettingDefinition.flag(
          "dispatch.wait_for_room",
          true,
          "Whether application requests wait at this node while engines have no room.");

  private static final SettingDefinition<Boolean> REFUSE_FORESEEN =
      SettingDefinition.flag(
          "dispatch.refuse_foreseen",
          true,
          "Whether prompts that are foreseen to begin too late for their callers are refused.");

  private static final SettingDefinition<Boolean> CACHE_ROOM =
      SettingDefinition.flag(
          "dispatch.cache_room",
          false,
          "Whether prompts are placed by the room that is left in the engines' KV caches.");

  private static final SettingDefinition<Boolean> LATE_YIELDS =
      SettingDefinition.flag(
          "dispatch.late_yields",
          true,
          "Whether late prompts with time to spare go behind less urgent ones that can be in time.");

  private static final SettingDefinition<DataSize> MAX_WAITING =
      SettingDefinition.dataSize(
          "dispatch.max_waiting",
          DataSize.ofMebibytes(9),
          DataSize.ofKibibytes(1),
          DataSize.ofMebibytes(1024),
          "Memory for the bodies of what waits; beyond it the least urgent are refused.");

  private static final SettingDefinition<Boolean> LEARN_PACE =
      SettingDefinition.flag(
          "dispatch.learn_pace", false, "Learn how fast each engine works, and go by it.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(
          PREFILL_SPEED,
          MIN_RETRY_AFTER,
          EVEN_FILL,
          WAIT_FOR_ROOM,
          REFUSE_FORESEEN,
          CACHE_ROOM,
          LATE_YIELDS,
          MAX_WAITING,
          LEARN_PACE);

  static DispatchSettings from(SettingValues values) {
    return new DispatchSettings(
        values.get(PREFILL_SPEED),
        values.get(MIN_RETRY_AFTER),
        waiting(values),
        values.get(LEARN_PACE));
  }

  private static WaitingParameters waiting(SettingValues values) {
    return new WaitingParameters(
        values.get(EVEN_FILL),
        values.get(WAIT_FOR_ROOM),
        values.get(REFUSE_FORESEEN),
        values.get(CACHE_ROOM),
        values.get(LATE_YIELDS),
        values.get(MAX_WAITING).bytes());
  }
}
