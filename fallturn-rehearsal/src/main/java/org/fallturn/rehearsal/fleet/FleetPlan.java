package org.fallturn.rehearsal.fleet;

import java.util.List;

/**
 * What a fleet consists of. Immutable.
 *
 * @param prefillEngines engines that start in the prefill role
 * @param decodeEngines engines that start in the decode role
 * @param applications application back ends
 * @param nodes fallturn nodes
 * @param machineLagMillis how far the platform's machine list lags
 * @param engineArguments further arguments of each engine
 * @param nodeArguments further arguments of each node
 */
public record FleetPlan(
    int prefillEngines,
    int decodeEngines,
    int applications,
    int nodes,
    long machineLagMillis,
    List<String> engineArguments,
    List<String> nodeArguments) {

  private static final List<String> QUICK_NODE =
      List.of(
          "--lease.duration", "2s",
          "--lease.renew_interval", "500ms",
          "--lease.safety_margin", "200ms",
          "--gossip.probe_interval", "200ms",
          "--gossip.probe_timeout", "60ms",
          "--gossip.suspicion_timeout", "1s",
          "--gossip.max_bytes_per_second", "64KiB",
          "--platform.machines_interval", "200ms",
          "--configuration.watch_interval", "200ms");

  /** Private copies of the lists. */
  public FleetPlan {
    engineArguments = List.copyOf(engineArguments);
    nodeArguments = List.copyOf(nodeArguments);
  }

  /** One engine of each role, one application and the given number of nodes, with short times. */
  public static FleetPlan small(int nodes) {
    return new FleetPlan(1, 1, 1, nodes, 100, List.of(), QUICK_NODE);
  }

  /** The same with other engines. */
  public FleetPlan withEngines(int prefill, int decode) {
    return new FleetPlan(
        prefill, decode, applications, nodes, machineLagMillis, engineArguments, nodeArguments);
  }

  /** The same with another number of applications. */
  public FleetPlan withApplications(int count) {
    return new FleetPlan(
        prefillEngines,
        decodeEngines,
        count,
        nodes,
        machineLagMillis,
        engineArguments,
        nodeArguments);
  }

  /** The same with further arguments of each engine. */
  public FleetPlan withEngineArguments(String... arguments) {
    return new FleetPlan(
        prefillEngines,
        decodeEngines,
        applications,
        nodes,
        machineLagMillis,
        List.of(arguments),
        nodeArguments);
  }
}
