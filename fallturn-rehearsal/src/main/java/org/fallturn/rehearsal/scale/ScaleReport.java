package org.fallturn.rehearsal.scale;

import java.util.List;
import java.util.Map;

/**
 * What one run of the scale experiment measured.
 *
 * @param startedAt wall-clock time
 * @param nodes hollow nodes
 * @param engines hollow engines
 * @param realNodes node processes beside them
 * @param realEngines engine stand-ins beside them
 * @param reportInterval how often a leader reads its engines' load
 * @param processors processors of the machine
 * @param loadAverageBefore load of the machine by others before the run
 * @param startSeconds until every node listened
 * @param rest measurements at rest
 * @param underPlacements the same while placements were asked for; empty when not run
 * @param events what was played, in order
 */
record ScaleReport(
    String startedAt,
    int nodes,
    int engines,
    int realNodes,
    int realEngines,
    String reportInterval,
    int processors,
    double loadAverageBefore,
    double startSeconds,
    List<Measurement> rest,
    List<Measurement> underPlacements,
    List<Event> events) {

  /**
   * Rates over a while.
   *
   * @param seconds its length
   * @param roles rates of the nodes of each role
   * @param heapMegabytesPerNode used heap after a collection, over all nodes
   * @param threadsPerNode live threads of a node
   * @param cpuPercentByDuty mean share of a core a node by thread
   * @param storeOperationsPerSecond of the whole fleet by kind
   * @param engineRequestsPerSecond of the whole fleet by kind
   * @param placed placements answered with an engine
   * @param refused placements refused
   * @param failed placements that failed
   */
  record Measurement(
      double seconds,
      List<RoleRates> roles,
      double heapMegabytesPerNode,
      double threadsPerNode,
      Map<String, Double> cpuPercentByDuty,
      Map<String, Double> storeOperationsPerSecond,
      Map<String, Double> engineRequestsPerSecond,
      long placed,
      long refused,
      long failed) {}

  /**
   * Means over the nodes of a role, a second.
   *
   * @param role the role
   * @param count nodes of the role
   * @param bytesOut all control bytes sent
   * @param bytesIn all control bytes received
   * @param highestBytesOut the node that sent most
   * @param messages datagrams sent and HTTP exchanges
   * @param gossipOut gossip alone
   * @param gossipIn gossip alone
   * @param peerOut HTTP with peers alone, both as client and as server
   * @param peerIn the same, received
   * @param platformOut HTTP with the platform alone
   * @param platformIn the same, received
   * @param engineOut HTTP with engines alone
   * @param engineIn the same, received
   * @param cpuPercent share of a core
   */
  record RoleRates(
      String role,
      int count,
      double bytesOut,
      double bytesIn,
      double highestBytesOut,
      double messages,
      double gossipOut,
      double gossipIn,
      double peerOut,
      double peerIn,
      double platformOut,
      double platformIn,
      double engineOut,
      double engineIn,
      double cpuPercent) {}

  /**
   * Something that was played.
   *
   * @param name what
   * @param figures figures by name; seconds unless the name says otherwise, negative where the
   *     limit of the experiment passed first
   */
  record Event(String name, Map<String, Double> figures) {}
}
