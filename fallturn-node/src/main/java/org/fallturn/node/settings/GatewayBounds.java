package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Bounds that the platform sets for a gateway process.
 *
 * @param contact how soon after trouble a node has to be in touch with the store again
 * @param drain how long after an engine began to leave it may still be sent requests
 * @param grace from SIGTERM to SIGKILL
 * @param stopMargin how long before that the process has ended by itself
 * @param stopLinger how long after SIGTERM new requests are still taken
 * @param retryRatio repeats a request that the fleet may send to a service
 * @param retrySlack repeats beyond the ratio
 * @param retryWindow window of both
 * @param revoke how soon a key that was taken away serves nobody, where keys fail closed
 * @param revokeFailClosed whether keys are believed only while the store, or a node that reaches
 *     it, can tell that none was taken away
 * @param bodyMemory memory for the bodies of all requests of the node
 * @param answerMemory memory for what is kept of the answers of all engines
 */
public record GatewayBounds(
    Duration contact,
    Duration drain,
    Duration grace,
    Duration stopMargin,
    Duration stopLinger,
    double retryRatio,
    double retrySlack,
    Duration retryWindow,
    Duration revoke,
    boolean revokeFailClosed,
    DataSize bodyMemory,
    DataSize answerMemory) {

  /** Of the bound on keys, what a refusal needs on its way. */
  private static final Duration REVOKE_MARGIN = Duration.ofMillis(500);

  private static final SettingDefinition<Duration> CONTACT =
      SettingDefinition.duration(
          "bounds.contact",
          Duration.ofSeconds(3),
          Duration.ofMillis(100),
          Duration.ofSeconds(30),
          "How soon after trouble a node has to be in touch with the store again.");

  private static final SettingDefinition<Duration> DRAIN =
      SettingDefinition.duration(
          "bounds.drain",
          Duration.ofSeconds(2),
          Duration.ofMillis(1),
          Duration.ofMinutes(10),
          "How long after an engine began to leave it may still be sent requests.");

  private static final SettingDefinition<Duration> GRACE =
      SettingDefinition.duration(
          "bounds.grace",
          Duration.ofSeconds(8),
          Duration.ofSeconds(2),
          Duration.ofMinutes(10),
          "From SIGTERM to SIGKILL.");

  private static final SettingDefinition<Duration> STOP_MARGIN =
      SettingDefinition.duration(
          "bounds.stop_margin",
          Duration.ofMillis(700),
          Duration.ofMillis(10),
          Duration.ofSeconds(10),
          "How long before the end of the grace the process has ended by itself.");

  private static final SettingDefinition<Duration> STOP_LINGER =
      SettingDefinition.duration(
          "bounds.stop_linger",
          Duration.ofMillis(2_900),
          Duration.ofMillis(10),
          Duration.ofMinutes(1),
          "How long after SIGTERM new requests are still taken.");

  private static final SettingDefinition<Double> RETRY_RATIO =
      SettingDefinition.decimal(
          "bounds.retry_ratio", 0.2, 0, 10, "Repeats a request, of the whole fleet.");

  private static final SettingDefinition<Double> RETRY_SLACK =
      SettingDefinition.decimal(
          "bounds.retry_slack", 10, 0, 1e6, "Repeats beyond the ratio, of the whole fleet.");

  private static final SettingDefinition<Duration> RETRY_WINDOW =
      SettingDefinition.duration(
          "bounds.retry_window",
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofMinutes(10),
          "Window of the retry budget.");

  private static final SettingDefinition<Duration> REVOKE =
      SettingDefinition.duration(
          "bounds.revoke",
          Duration.ofSeconds(5),
          Duration.ofSeconds(1),
          Duration.ofMinutes(10),
          "How soon a key that was taken away serves nobody, where keys fail closed.");

  private static final SettingDefinition<Boolean> REVOKE_FAIL_CLOSED =
      SettingDefinition.flag(
          "bounds.revoke_fail_closed",
          false,
          "Whether keys are believed only while it is known that none was taken away.");

  private static final SettingDefinition<DataSize> BODY_MEMORY =
      SettingDefinition.dataSize(
          "bounds.body_memory",
          DataSize.ofMebibytes(48),
          DataSize.ofMebibytes(1),
          DataSize.ofMebibytes(16 * 1024),
          "Memory for the bodies of all requests of the node; more are refused.");

  private static final SettingDefinition<DataSize> ANSWER_MEMORY =
      SettingDefinition.dataSize(
          "bounds.answer_memory",
          DataSize.ofMebibytes(16),
          DataSize.ofMebibytes(1),
          DataSize.ofMebibytes(16 * 1024),
          "Memory for what is kept of answers while they are read; an engine has half of it.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(
          CONTACT,
          DRAIN,
          GRACE,
          STOP_MARGIN,
          STOP_LINGER,
          RETRY_RATIO,
          RETRY_SLACK,
          RETRY_WINDOW,
          REVOKE,
          REVOKE_FAIL_CLOSED,
          BODY_MEMORY,
          ANSWER_MEMORY);

  static GatewayBounds from(SettingValues values) {
    return new GatewayBounds(
        values.get(CONTACT),
        values.get(DRAIN),
        values.get(GRACE),
        values.get(STOP_MARGIN),
        values.get(STOP_LINGER),
        values.get(RETRY_RATIO),
        values.get(RETRY_SLACK),
        values.get(RETRY_WINDOW),
        values.get(REVOKE),
        values.get(REVOKE_FAIL_CLOSED),
        values.get(BODY_MEMORY),
        values.get(ANSWER_MEMORY));
  }

  /** How long keys are believed without word of the newest configuration; empty for ever. */
  public Optional<Duration> keyLifetime() {
    return revokeFailClosed ? Optional.of(revoke.minus(REVOKE_MARGIN)) : Optional.empty();
  }
}
