package org.fallturn.rehearsal.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.fallturn.rehearsal.scale.HollowMessages.NodeSample;
import org.fallturn.rehearsal.scale.HollowMessages.Samples;
import org.fallturn.rehearsal.scale.ScaleReport.RoleRates;

/** The counters of all nodes at one moment, and the rates between two such moments. */
final class ScaleSamples {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BYTES_PER_MEGABYTE = 1e6;
  private static final double PERCENT = 100;

  private final long nanos = System.nanoTime();
  private final Map<String, NodeSample> nodes = new HashMap<>();
  private final Map<String, Long> storeOperations;
  private final Map<String, Long> engineRequests;
  private long heapBytes;

  private ScaleSamples(Map<String, Long> storeOperations, Map<String, Long> engineRequests) {
    this.storeOperations = storeOperations;
    this.engineRequests = engineRequests;
  }

  static ScaleSamples of(ScaleFleet fleet) throws Exception {
    ScaleSamples samples =
        new ScaleSamples(fleet.platform().operationCounts(), fleet.engines().requests());
    for (Samples rack :
        fleet.askAll("/samples", new HollowMessages.Ask(List.of()), Samples.class).values()) {
      rack.nodes().forEach(node -> samples.nodes.put(node.node(), node));
      samples.heapBytes += rack.heapBytes();
    }
    return samples;
  }

  /** Rates since an earlier moment, of the nodes that were there both times. */
  ScaleReport.Measurement since(ScaleSamples before, HollowMessages.LoadResult placements) {
    double seconds = (nanos - before.nanos) / NANOS_PER_SECOND;
    List<NodeRates> rates = new ArrayList<>();
    for (NodeSample now : nodes.values()) {
      NodeSample then = before.nodes.get(now.node());
      if (then != null) {
        rates.add(new NodeRates(now, then, seconds));
      }
    }
    List<RoleRates> roles = new ArrayList<>();
    roles.add(mean("every node", rates, rate -> true));
    roles.add(mean("no further role", rates, NodeRates::hasNoRole));
    roles.add(mean("pool leader", rates, rate -> rate.now.poolsLed() > 0));
    roles.add(mean("configuration watcher", rates, rate -> rate.now.watcher()));
    roles.add(mean("gossip bridge", rates, rate -> rate.now.bridge()));
    return new ScaleReport.Measurement(
        seconds,
        roles,
        heapBytes / BYTES_PER_MEGABYTE / Math.max(1, nodes.size()),
        nodes.values().stream().mapToInt(NodeSample::threads).average().orElse(0),
        cpuByDuty(rates),
        perSecond(storeOperations, before.storeOperations, seconds),
        perSecond(engineRequests, before.engineRequests, seconds),
        placements.placed(),
        placements.refused(),
        placements.failed());
  }

  private static Map<String, Double> perSecond(
      Map<String, Long> now, Map<String, Long> then, double seconds) {
    Map<String, Double> rates = new TreeMap<>();
    now.forEach((kind, count) -> rates.put(kind, (count - then.getOrDefault(kind, 0L)) / seconds));
    return rates;
  }

  private static Map<String, Double> cpuByDuty(List<NodeRates> rates) {
    Map<String, Double> shares = new TreeMap<>();
    for (NodeRates rate : rates) {
      rate.now
          .cpuNanosByDuty()
          .forEach(
              (duty, cpu) -> {
                long used = cpu - rate.then.cpuNanosByDuty().getOrDefault(duty, 0L);
                double share = used / NANOS_PER_SECOND / rate.seconds * PERCENT;
                shares.merge(duty, share / rates.size(), Double::sum);
              });
    }
    return shares;
  }

  private static RoleRates mean(String role, List<NodeRates> all, Predicate<NodeRates> ofRole) {
    List<NodeRates> rates = all.stream().filter(ofRole).toList();
    return new RoleRates(
        role,
        rates.size(),
        average(rates, NodeRates::bytesOut),
        average(rates, NodeRates::bytesIn),
        rates.stream().mapToDouble(NodeRates::bytesOut).max().orElse(0),
        average(rates, NodeRates::messages),
        average(rates, NodeRates::gossipOut),
        average(rates, NodeRates::gossipIn),
        average(rates, NodeRates::peerOut),
        average(rates, NodeRates::peerIn),
        average(rates, NodeRates::platformOut),
        average(rates, NodeRates::platformIn),
        average(rates, NodeRates::engineOut),
        average(rates, NodeRates::engineIn),
        average(rates, NodeRates::cpuPercent));
  }

  private static double average(
      List<NodeRates> rates, java.util.function.ToDoubleFunction<NodeRates> figure) {
    return rates.stream().mapToDouble(figure).average().orElse(0);
  }

  /** The rates of one node between two samples. */
  private record NodeRates(NodeSample now, NodeSample then, double seconds) {

    boolean hasNoRole() {
      return now.poolsLed() == 0 && !now.watcher() && !now.bridge();
    }

    double bytesOut() {
      return gossipOut() + peerOut() + platformOut() + engineOut();
    }

    double bytesIn() {
      return gossipIn() + peerIn() + platformIn() + engineIn();
    }

    double gossipOut() {
      return (now.gossip().bytesOut() - then.gossip().bytesOut()) / seconds;
    }

    double gossipIn() {
      return (now.gossip().bytesIn() - then.gossip().bytesIn()) / seconds;
    }

    double peerOut() {
      return (now.peersCalled().bytesOut()
              - then.peersCalled().bytesOut()
              + now.peersServed().bytesOut()
              - then.peersServed().bytesOut())
          / seconds;
    }

    double peerIn() {
      return (now.peersCalled().bytesIn()
              - then.peersCalled().bytesIn()
              + now.peersServed().bytesIn()
              - then.peersServed().bytesIn())
          / seconds;
    }

    double platformOut() {
      return (now.platform().bytesOut() - then.platform().bytesOut()) / seconds;
    }

    double platformIn() {
      return (now.platform().bytesIn() - then.platform().bytesIn()) / seconds;
    }

    double engineOut() {
      return (now.engines().bytesOut() - then.engines().bytesOut()) / seconds;
    }

    double engineIn() {
      return (now.engines().bytesIn() - then.engines().bytesIn()) / seconds;
    }

    double messages() {
      long exchanges = exchanges(now) - exchanges(then);
      return (now.gossip().messagesOut() - then.gossip().messagesOut() + exchanges) / seconds;
    }

    double cpuPercent() {
      long used = sum(now.cpuNanosByDuty()) - sum(then.cpuNanosByDuty());
      return used / NANOS_PER_SECOND / seconds * PERCENT;
    }

    private static long exchanges(NodeSample sample) {
      return sample.peersServed().exchanges()
          + sample.peersCalled().exchanges()
          + sample.platform().exchanges()
          + sample.engines().exchanges();
    }

    private static long sum(Map<String, Long> nanos) {
      return nanos.values().stream().mapToLong(Long::longValue).sum();
    }
  }
}
