package org.fallturn.node.settings;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.membership.GossipParameters;

/**
 * Membership by gossip over UDP.
 *
 * @param listen where datagrams are received; port 0 takes any free one
 * @param advertised where datagrams are sent to, if not advertised_host and the port listened on;
 *     host 0.0.0.0 or port 0 leaves that part
 * @param probeInterval how often one member is probed
 * @param probeTimeout how long a probe waits before members are asked to probe for it
 * @param suspicionTimeout how long a suspect has to refute before it counts as dead
 * @param maxBytesPerSecond cap on what this node sends by gossip in a second
 */
public record GossipSettings(
    NetworkAddress listen,
    NetworkAddress advertised,
    Duration probeInterval,
    Duration probeTimeout,
    Duration suspicionTimeout,
    DataSize maxBytesPerSecond) {

  private static final SettingDefinition<NetworkAddress> LISTEN =
      SettingDefinition.address(
          "gossip.listen",
          "127.0.0.1:8083",
          "Where datagrams are received; port 0 takes any free one.");

  private static final SettingDefinition<NetworkAddress> ADVERTISED =
      SettingDefinition.address(
          "gossip.advertised",
          "0.0.0.0:0",
          "Where datagrams are sent to, if not advertised_host and the port listened on; host 0.0.0.0 or port 0 leaves that part.");

  private static final SettingDefinition<Duration> PROBE_INTERVAL =
      SettingDefinition.duration(
          "gossip.probe_interval",
          Duration.ofSeconds(1),
          Duration.ofMillis(20),
          Duration.ofSeconds(60),
          "How often one member is probed.");

  private static final SettingDefinition<Duration> PROBE_TIMEOUT =
      SettingDefinition.duration(
          "gossip.probe_timeout",
          Duration.ofMillis(300),
          Duration.ofMillis(5),
          Duration.ofSeconds(30),
          "How long a probe waits before members are asked to probe for it.");

  private static final SettingDefinition<Duration> SUSPICION_TIMEOUT =
      SettingDefinition.duration(
          "gossip.suspicion_timeout",
          Duration.ofSeconds(5),
          Duration.ofMillis(50),
          Duration.ofMinutes(10),
          "How long a suspect has to refute before it counts as dead.");

  private static final SettingDefinition<DataSize> MAX_BYTES_PER_SECOND =
      SettingDefinition.dataSize(
          "gossip.max_bytes_per_second",
          new DataSize(1200),
          new DataSize(256),
          DataSize.ofMebibytes(1),
          "Cap on what this node sends by gossip in a second.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(
          LISTEN,
          ADVERTISED,
          PROBE_INTERVAL,
          PROBE_TIMEOUT,
          SUSPICION_TIMEOUT,
          MAX_BYTES_PER_SECOND);

  /** The same for the membership of the core. */
  public GossipParameters parameters() {
    return GossipParameters.defaults()
        .withDetection(probeInterval, probeTimeout, suspicionTimeout)
        .withBytesPerSecond(maxBytesPerSecond.bytesAsInt());
  }

  static GossipSettings from(SettingValues values) {
    return new GossipSettings(
        values.get(LISTEN),
        values.get(ADVERTISED),
        values.get(PROBE_INTERVAL),
        values.get(PROBE_TIMEOUT),
        values.get(SUSPICION_TIMEOUT),
        values.get(MAX_BYTES_PER_SECOND));
  }
}
