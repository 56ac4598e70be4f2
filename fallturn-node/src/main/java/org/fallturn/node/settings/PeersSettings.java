package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The port for the other nodes.
 *
 * @param listen where other nodes connect; port 0 takes any free one
 * @param advertised where other nodes connect, if not advertised_host and the port listened on;
 *     host 0.0.0.0 or port 0 leaves that part
 * @param maxThreads bound on the port's threads
 * @param maxBody largest peer message
 * @param callTimeout how long a call to a peer may take
 */
public record PeersSettings(
    NetworkAddress listen,
    NetworkAddress advertised,
    int maxThreads,
    DataSize maxBody,
    Duration callTimeout) {

  private static final SettingDefinition<NetworkAddress> LISTEN =
      SettingDefinition.address(
          "peers.listen",
          "127.0.0.1:8082",
          "Where other nodes connect; port 0 takes any free one.");

  private static final SettingDefinition<NetworkAddress> ADVERTISED =
      SettingDefinition.address(
          "peers.advertised",
          "0.0.0.0:0",
          "Where other nodes connect, if not advertised_host and the port listened on; host 0.0.0.0 or port 0 leaves that part.");

  private static final SettingDefinition<Integer> MAX_THREADS =
      SettingDefinition.integer("peers.max_threads", 24, 8, 256, "Bound on the port's threads.");

  private static final SettingDefinition<DataSize> MAX_BODY =
      SettingDefinition.dataSize(
          "peers.max_body",
          DataSize.ofMebibytes(4),
          DataSize.ofKibibytes(16),
          DataSize.ofMebibytes(64),
          "Largest peer message.");

  private static final SettingDefinition<Duration> CALL_TIMEOUT =
      SettingDefinition.duration(
          "peers.call_timeout",
          Duration.ofSeconds(1),
          Duration.ofMillis(10),
          Duration.ofSeconds(60),
          "How long a call to a peer may take.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(LISTEN, ADVERTISED, MAX_THREADS, MAX_BODY, CALL_TIMEOUT);

  static PeersSettings from(SettingValues values) {
    return new PeersSettings(
        values.get(LISTEN),
        values.get(ADVERTISED),
        values.get(MAX_THREADS),
        values.get(MAX_BODY),
        values.get(CALL_TIMEOUT));
  }
}
