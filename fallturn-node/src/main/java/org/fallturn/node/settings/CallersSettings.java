package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The port for callers and its limits.
 *
 * @param listen where callers connect; port 0 takes any free one
 * @param maxThreads bound on the port's threads
 * @param maxConnections bound on open connections
 * @param maxBody largest request body
 * @param maxHeader largest request header
 * @param idleTimeout how long a connection may stand still
 * @param maxOutputTokens most tokens one answer may have
 * @param callerBuffer bytes of an answer held for a slow caller before its engine stream waits
 * @param answerBuffer an application's answer up to this size is sent in one piece
 * @param stallTimeout longest silence of an engine that is waited for
 * @param prefillTimeout longest wait for a prefill
 * @param claimTimeout longest wait for the table service to take a claim
 * @param maxAttempts most engines or back ends tried for one request
 */
public record CallersSettings(
    NetworkAddress listen,
    int maxThreads,
    int maxConnections,
    DataSize maxBody,
    DataSize maxHeader,
    Duration idleTimeout,
    int maxOutputTokens,
    DataSize callerBuffer,
    DataSize answerBuffer,
    Duration stallTimeout,
    Duration prefillTimeout,
    Duration claimTimeout,
    int maxAttempts) {

  private static final SettingDefinition<NetworkAddress> LISTEN =
      SettingDefinition.address(
          "callers.listen", "127.0.0.1:8080", "Where callers connect; port 0 takes any free one.");

  private static final SettingDefinition<Integer> MAX_THREADS =
      SettingDefinition.integer("callers.max_threads", 64, 8, 1024, "Bound on the port's threads.");

  private static final SettingDefinition<Integer> MAX_CONNECTIONS =
      SettingDefinition.integer(
          "callers.max_connections", 10000, 1, 100000, "Bound on open connections.");

  private static final SettingDefinition<DataSize> MAX_BODY =
      SettingDefinition.dataSize(
          "callers.max_body",
          DataSize.ofMebibytes(4),
          DataSize.ofKibibytes(1),
          DataSize.ofMebibytes(64),
          "Largest request body.");

  private static final SettingDefinition<DataSize> MAX_HEADER =
      SettingDefinition.dataSize(
          "callers.max_header",
          DataSize.ofKibibytes(16),
          DataSize.ofKibibytes(1),
          DataSize.ofKibibytes(256),
          "Largest request header.");

  private static final SettingDefinition<Duration> IDLE_TIMEOUT =
      SettingDefinition.duration(
          "callers.idle_timeout",
          Duration.ofSeconds(60),
          Duration.ofSeconds(1),
          Duration.ofHours(1),
          "How long a connection may stand still.");

  private static final SettingDefinition<Integer> MAX_OUTPUT_TOKENS =
      SettingDefinition.integer(
          "callers.max_output_tokens", 16384, 1, 1048576, "Most tokens one answer may have.");

  private static final SettingDefinition<DataSize> CALLER_BUFFER =
      SettingDefinition.dataSize(
          "callers.caller_buffer",
          DataSize.ofKibibytes(64),
          DataSize.ofKibibytes(1),
          DataSize.ofMebibytes(16),
          "Bytes of an answer held for a slow caller before its engine stream waits.");

  private static final SettingDefinition<DataSize> ANSWER_BUFFER =
      SettingDefinition.dataSize(
          "callers.answer_buffer",
          DataSize.ofKibibytes(256),
          DataSize.ofKibibytes(1),
          DataSize.ofMebibytes(16),
          "An application's answer up to this size is sent to the caller in one piece.");

  private static final SettingDefinition<Duration> STALL_TIMEOUT =
      SettingDefinition.duration(
          "callers.stall_timeout",
          Duration.ofSeconds(5),
          Duration.ofMillis(100),
          Duration.ofMinutes(10),
          "Longest silence of an engine that is waited for.");

  private static final SettingDefinition<Duration> PREFILL_TIMEOUT =
      SettingDefinition.duration(
          "callers.prefill_timeout",
          Duration.ofSeconds(10),
          Duration.ofMillis(100),
          Duration.ofMinutes(10),
          "Longest wait for a prefill.");

  private static final SettingDefinition<Duration> CLAIM_TIMEOUT =
      SettingDefinition.duration(
          "callers.claim_timeout",
          Duration.ofSeconds(2),
          Duration.ofMillis(10),
          Duration.ofMinutes(1),
          "Longest wait for the table service to take a claim on an idempotency key.");

  private static final SettingDefinition<Integer> MAX_ATTEMPTS =
      SettingDefinition.integer(
          "callers.max_attempts", 4, 1, 100, "Most engines or back ends tried for one request.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(
          LISTEN,
          MAX_THREADS,
          MAX_CONNECTIONS,
          MAX_BODY,
          MAX_HEADER,
          IDLE_TIMEOUT,
          MAX_OUTPUT_TOKENS,
          CALLER_BUFFER,
          ANSWER_BUFFER,
          STALL_TIMEOUT,
          PREFILL_TIMEOUT,
          CLAIM_TIMEOUT,
          MAX_ATTEMPTS);

  static CallersSettings from(SettingValues values) {
    return new CallersSettings(
        values.get(LISTEN),
        values.get(MAX_THREADS),
        values.get(MAX_CONNECTIONS),
        values.get(MAX_BODY),
        values.get(MAX_HEADER),
        values.get(IDLE_TIMEOUT),
        values.get(MAX_OUTPUT_TOKENS),
        values.get(CALLER_BUFFER),
        values.get(ANSWER_BUFFER),
        values.get(STALL_TIMEOUT),
        values.get(PREFILL_TIMEOUT),
        values.get(CLAIM_TIMEOUT),
        values.get(MAX_ATTEMPTS));
  }
}
