package org.fallturn.rehearsal.fleet;

import java.io.IOException;
import org.fallturn.core.domain.NetworkAddress;

/**
 * A node process and its place on the loopback network.
 *
 * @param id its node id
 * @param host the IP number it listens on and calls from
 * @param process the process
 */
public record FleetNode(String id, String host, ManagedProcess process) {

  /** Where callers connect. */
  public NetworkAddress callers() throws IOException {
    return process.address("callers");
  }

  /** Where operators connect. */
  public NetworkAddress operators() throws IOException {
    return process.address("operators");
  }
}
