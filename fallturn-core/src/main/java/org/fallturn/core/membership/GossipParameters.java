package org.fallturn.core.membership;

import java.time.Duration;

/**
 * Pace and bounds of gossip.
 *
 * @param probePeriod one member is probed each period
 * @param probeTimeout wait for the direct answer before others are asked to ping
 * @param suspicionTimeout a suspect that has not refuted for this long is dead
 * @param indirectProbes members asked to ping when the direct answer is late
 * @param pushFanout members that an urgent change is pushed to at once
 * @param bridgesPerZone members of a zone that talk to other zones
 * @param bridgePeriod a bridge contacts one other zone each period
 * @param zoneSilence a zone not heard of for this long has all its members shown as suspect
 * @param forgetAfter a dead member is kept this long so that old news does not revive it
 * @param syncPeriod one page of the whole table is fetched from a random member each period
 * @param digestPeriod a pool's digest is spread in its zone at most this often, unless its leader
 *     changed
 * @param remoteDigestPeriod the same towards other zones
 * @param maxDatagramBytes bound on a datagram's payload
 * @param bytesPerSecond cap on what the node sends, headers of IP and UDP included
 */
public record GossipParameters(
    Duration probePeriod,
    Duration probeTimeout,
    Duration suspicionTimeout,
    int indirectProbes,
    int pushFanout,
    int bridgesPerZone,
    Duration bridgePeriod,
    Duration zoneSilence,
    Duration forgetAfter,
    Duration syncPeriod,
    Duration digestPeriod,
    Duration remoteDigestPeriod,
    int maxDatagramBytes,
    int bytesPerSecond) {

  private static final int DEFAULT_DATAGRAM_BYTES = 1200;
  private static final int DEFAULT_BYTES_PER_SECOND = 1200;

  /** What a node uses unless its settings say otherwise. */
  public static GossipParameters defaults() {
    return new GossipParameters(
        Duration.ofSeconds(1),
        Duration.ofMillis(300),
        Duration.ofSeconds(5),
        3,
        4,
        2,
        Duration.ofSeconds(2),
        Duration.ofSeconds(25),
        Duration.ofMinutes(2),
        Duration.ofSeconds(10),
        Duration.ofSeconds(10),
        Duration.ofSeconds(30),
        DEFAULT_DATAGRAM_BYTES,
        DEFAULT_BYTES_PER_SECOND);
  }

  /** The same with another cap. */
  public GossipParameters withBytesPerSecond(int cap) {
    return new GossipParameters(
        probePeriod,
        probeTimeout,
        suspicionTimeout,
        indirectProbes,
        pushFanout,
        bridgesPerZone,
        bridgePeriod,
        zoneSilence,
        forgetAfter,
        syncPeriod,
        digestPeriod,
        remoteDigestPeriod,
        maxDatagramBytes,
        cap);
  }

  /** The same with another pace of failure detection. */
  public GossipParameters withDetection(Duration period, Duration timeout, Duration suspicion) {
    return new GossipParameters(
        period,
        timeout,
        suspicion,
        indirectProbes,
        pushFanout,
        bridgesPerZone,
        bridgePeriod,
        zoneSilence,
        forgetAfter,
        syncPeriod,
        digestPeriod,
        remoteDigestPeriod,
        maxDatagramBytes,
        bytesPerSecond);
  }
}
