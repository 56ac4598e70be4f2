package org.fallturn.rehearsal.platform;

import org.fallturn.core.domain.NetworkAddress;

/**
 * Settings of the platform stand-in.
 *
 * @param listen where it listens; port 0 takes any free one
 * @param tableRequestsPerSecond table requests above this rate are refused with status 429
 * @param objectRequestsPerSecond the same for the object store
 * @param weightBytesPerSecond bandwidth of the weight store, shared by all engines
 * @param weightBytes size of every model's weights
 * @param machineLagMillis how far the machine list lags behind what was set
 */
public record PlatformSettings(
    NetworkAddress listen,
    double tableRequestsPerSecond,
    double objectRequestsPerSecond,
    double weightBytesPerSecond,
    long weightBytes,
    long machineLagMillis) {

  /** Any free port of the loopback device, rates that no small test reaches, 200 ms of lag. */
  public static PlatformSettings defaults() {
    return new PlatformSettings(
        new NetworkAddress("127.0.0.1", 0), 5_000, 500, 8e9, 16_000_000_000L, 200);
  }

  /** The same with another address. */
  public PlatformSettings withListen(NetworkAddress address) {
    return new PlatformSettings(
        address,
        tableRequestsPerSecond,
        objectRequestsPerSecond,
        weightBytesPerSecond,
        weightBytes,
        machineLagMillis);
  }

  /** The same with another lag of the machine list. */
  public PlatformSettings withMachineLagMillis(long millis) {
    return new PlatformSettings(
        listen,
        tableRequestsPerSecond,
        objectRequestsPerSecond,
        weightBytesPerSecond,
        weightBytes,
        millis);
  }
}
