package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Who this process is and how it stops.
 *
 * @param id name of this process; empty takes a random one. A restarted process needs a new one
 * @param region region this process runs in
 * @param zone zone this process runs in
 * @param advertisedHost IP number under which the other nodes reach this one
 * @param outgoingHost IP number that outgoing connections come from; empty leaves it to the system
 * @param clusterKey secret shared by the nodes of a cluster; empty leaves peer messages unsigned
 * @param clusterKeyFile file that holds the cluster key; wins over cluster_key
 * @param stopTimeout how long a planned stop waits for requests in progress
 */
public record IdentitySettings(
    String id,
    String region,
    String zone,
    String advertisedHost,
    String outgoingHost,
    String clusterKey,
    String clusterKeyFile,
    Duration stopTimeout) {

  private static final String ANY_HOST = "0.0.0.0";

  private static final SettingDefinition<String> ID =
      SettingDefinition.name(
          "node.id",
          "",
          "Name of this process; empty takes a random one. A restarted process needs a new one.");

  private static final SettingDefinition<String> REGION =
      SettingDefinition.name("node.region", "local", "Region this process runs in.");

  private static final SettingDefinition<String> ZONE =
      SettingDefinition.name("node.zone", "zone-1", "Zone this process runs in.");

  private static final SettingDefinition<String> ADVERTISED_HOST =
      SettingDefinition.name(
          "node.advertised_host",
          "127.0.0.1",
          "IP number under which the other nodes reach this one.");

  private static final SettingDefinition<String> OUTGOING_HOST =
      SettingDefinition.text(
          "node.outgoing_host",
          "",
          "IP number that outgoing connections come from; empty leaves it to the system.");

  private static final SettingDefinition<String> CLUSTER_KEY =
      SettingDefinition.text(
          "node.cluster_key",
          "",
          "Secret shared by the nodes of a cluster; empty leaves peer messages unsigned.");

  private static final SettingDefinition<String> CLUSTER_KEY_FILE =
      SettingDefinition.text(
          "node.cluster_key_file", "", "File that holds the cluster key; wins over cluster_key.");

  private static final SettingDefinition<Duration> STOP_TIMEOUT =
      SettingDefinition.duration(
          "node.stop_timeout",
          Duration.ofSeconds(120),
          Duration.ofSeconds(1),
          Duration.ofHours(1),
          "How long a planned stop waits for requests in progress.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(
          ID,
          REGION,
          ZONE,
          ADVERTISED_HOST,
          OUTGOING_HOST,
          CLUSTER_KEY,
          CLUSTER_KEY_FILE,
          STOP_TIMEOUT);

  static IdentitySettings from(SettingValues values) {
    return new IdentitySettings(
        values.get(ID),
        values.get(REGION),
        values.get(ZONE),
        values.get(ADVERTISED_HOST),
        values.get(OUTGOING_HOST),
        values.get(CLUSTER_KEY),
        values.get(CLUSTER_KEY_FILE),
        values.get(STOP_TIMEOUT));
  }

  /**
   * The address to tell others.
   *
   * @param configured what the settings say; host 0.0.0.0 or port 0 leaves that part open
   * @param bound where this process listens
   */
  public NetworkAddress advertise(NetworkAddress configured, NetworkAddress bound) {
    String host = configured.host().equals(ANY_HOST) ? advertisedHost : configured.host();
    int port = configured.port() == 0 ? bound.port() : configured.port();
    return new NetworkAddress(host, port);
  }
}
