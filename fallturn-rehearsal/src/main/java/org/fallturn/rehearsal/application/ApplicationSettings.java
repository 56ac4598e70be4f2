package org.fallturn.rehearsal.application;

import org.fallturn.core.domain.NetworkAddress;

/**
 * Settings of the application stand-in.
 *
 * @param id name of the machine, echoed in answers
 * @param listen where it listens; port 0 takes any free one
 * @param delayMillis time each execution takes
 */
public record ApplicationSettings(String id, NetworkAddress listen, long delayMillis) {

  /** Any free port of the loopback device, 5 ms an execution. */
  public static ApplicationSettings defaults(String id) {
    return new ApplicationSettings(id, new NetworkAddress("127.0.0.1", 0), 5);
  }
}
