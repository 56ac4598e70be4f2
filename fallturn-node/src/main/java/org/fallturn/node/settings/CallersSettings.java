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
 */
public record CallersSettings(
    NetworkAddress listen,
    int maxThreads,
    int maxConnections,
    DataSize maxBody,
    DataSize maxHeader,
    Duration idleTimeout) {

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

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(LISTEN, MAX_THREADS, MAX_CONNECTIONS, MAX_BODY, MAX_HEADER, IDLE_TIMEOUT);

  static CallersSettings from(SettingValues values) {
    return new CallersSettings(
        values.get(LISTEN),
        values.get(MAX_THREADS),
        values.get(MAX_CONNECTIONS),
        values.get(MAX_BODY),
        values.get(MAX_HEADER),
        values.get(IDLE_TIMEOUT));
  }
}
