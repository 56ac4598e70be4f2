package org.fallturn.rehearsal.limits;

import java.util.List;

/**
 * A simulated fleet under load.
 *
 * @param name names it in the table
 * @param nodes nodes in the fleet
 * @param tenants tenants with equal limits
 * @param limitPerSecond requests a second that each tenant may send
 * @param demandFactor requests sent, as a factor of the limit
 * @param hotNodes nodes that a tenant's traffic enters by; it moves to others every so often
 * @param moveSeconds how often the traffic moves
 * @param lossOneIn one message of so many is lost; 0 for none
 * @param seconds how long it runs
 * @param failures what goes wrong
 */
record LimitsScenario(
    String name,
    int nodes,
    int tenants,
    double limitPerSecond,
    double demandFactor,
    int hotNodes,
    double moveSeconds,
    int lossOneIn,
    double seconds,
    List<Failure> failures) {

  LimitsScenario {
    failures = List.copyOf(failures);
  }

  /** Something that goes wrong at a time; the fleet notices after a random while. */
  sealed interface Failure {

    /** When it begins. */
    double atSeconds();

    /** A node dies for good. */
    record Death(double atSeconds, int node) implements Failure {}

    /** The first nodes are cut off from the rest, until another cut at 0 heals it. */
    record Partition(double atSeconds, int firstNodes) implements Failure {}
  }
}
