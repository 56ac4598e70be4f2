package org.fallturn.rehearsal.scale;

import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.node.http.TrafficTotals;

/** Messages between the scale experiment and the processes that hold hollow nodes. */
final class HollowMessages {

  private HollowMessages() {}

  /** Start these nodes. */
  record Start(
      List<String> nodes,
      String region,
      String zone,
      NetworkAddress platform,
      String reportInterval) {}

  /** Their entries in the machine list. */
  record Started(List<Machine> machines) {}

  /** The nodes of the process. */
  record Names(List<String> nodes) {}

  /** Stop these nodes as planned. */
  record Stop(List<String> nodes) {}

  /** Send no datagrams to these addresses; an empty list ends it. */
  record Block(List<NetworkAddress> addresses) {}

  /** Nothing more to say. */
  record Done(boolean done) {}

  /** Ask for something. */
  record Ask(List<String> nodes) {}

  /** How many nodes of the process see each of the nodes asked for as alive, or see them at all. */
  record Sight(int observers, int pairsAlive, int pairsListed) {}

  /** Which pools the nodes of the process lead now, with a valid lease. */
  record Leaderships(Map<String, List<String>> poolsByNode) {}

  /** Commit changes at a node, one each interval. */
  record Commit(String node, int changes, long intervalMillis) {}

  /** When each change was accepted, by version, in milliseconds of the wall clock. */
  record Committed(Map<Long, Long> acceptedMillis, int failed) {}

  /** When each node of the process had each version in force first. */
  record InForce(Map<String, Map<Long, Long>> millisByNode) {}

  /** Ask for placements, so many a second at each node; 0 ends it. */
  record Load(double placementsPerSecond, List<String> models) {}

  /** What became of the placements asked for since the last question. */
  record LoadResult(long placed, long refused, long failed, double withoutLeader) {}

  /** Every node of the process. */
  record Samples(List<NodeSample> nodes, long heapBytes, long processCpuNanos) {}

  /**
   * Counters of one node since its start.
   *
   * @param cpuNanosByDuty processor time by thread name, numbers and the node's id taken off
   */
  record NodeSample(
      String node,
      String zone,
      boolean bridge,
      boolean watcher,
      int poolsLed,
      long configurationVersion,
      int membersSeen,
      int threads,
      GossipSample gossip,
      TrafficTotals peersServed,
      TrafficTotals platform,
      TrafficTotals engines,
      TrafficTotals peersCalled,
      Map<String, Long> cpuNanosByDuty) {}

  /** Gossip of one node since its start, headers of IP and UDP counted. */
  record GossipSample(
      long bytesOut,
      long bytesIn,
      long messagesOut,
      long messagesIn,
      long overBudget,
      long suspicions,
      long deaths,
      long refutations) {}
}
