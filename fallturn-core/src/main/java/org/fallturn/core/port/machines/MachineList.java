package org.fallturn.core.port.machines;

import java.util.List;

/**
 * The platform's list of machines, {@code GET /v1/machines}. It lags behind reality. With the query
 * {@code after=N} a list whose version is still N is answered by status 304 alone.
 *
 * @param version rises with each change of the list
 * @param machines all machines the platform knows
 */
public record MachineList(long version, List<Machine> machines) {

  /** A private copy of the machines. */
  public MachineList {
    machines = List.copyOf(machines);
  }
}
