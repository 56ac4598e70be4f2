package org.fallturn.rehearsal.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.fallturn.rehearsal.platform.PlatformFaults;
import org.fallturn.rehearsal.scale.HollowMessages.Ask;
import org.fallturn.rehearsal.scale.HollowMessages.Committed;
import org.fallturn.rehearsal.scale.HollowMessages.Done;
import org.fallturn.rehearsal.scale.HollowMessages.InForce;
import org.fallturn.rehearsal.scale.HollowMessages.Leaderships;
import org.fallturn.rehearsal.scale.HollowMessages.Sight;
import org.fallturn.rehearsal.scale.ScaleFleet.Rack;

/**
 * The failures of the capacity letter, played on a running fleet one after the other. A figure that
 * was not reached within its limit is negative.
 */
final class ScaleEvents {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NOT_REACHED = -1;
  private static final long LOOK_MILLIS = 250;
  private static final int CHANGES = 100;
  private static final long CHANGE_INTERVAL_MILLIS = 600;
  private static final int REPLACED_SHARE = 10;
  private static final long RACK_LIMIT_SECONDS = 30;
  private static final long ZONE_LIMIT_SECONDS = 40;
  private static final long PARTITION_SECONDS = 35;
  private static final long HEAL_LIMIT_SECONDS = 30;
  private static final long STORE_DOWN_SECONDS = 20;
  private static final long LAST_CHANGE_SECONDS = 5;

  private final ScaleFleet fleet;
  private final List<ScaleReport.Event> events = new ArrayList<>();

  ScaleEvents(ScaleFleet fleet) {
    this.fleet = fleet;
  }

  List<ScaleReport.Event> play() throws Exception {
    changesWhileATenthIsReplaced();
    regionsParted();
    storeDown();
    rackDies();
    zoneDies();
    return events;
  }

  private void record(String name, Map<String, Double> figures) {
    figures.put("orders refused by the fence in all", (double) fleet.engines().refusedOrders());
    events.add(new ScaleReport.Event(name, figures));
    System.out.println(name + ": " + figures);
  }

  /** Something that is looked for until it holds. */
  private interface Condition {
    boolean holds() throws Exception;
  }

  private static double secondsUntil(long limitSeconds, Condition condition) throws Exception {
    long start = System.nanoTime();
    while (!condition.holds()) {
      if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(limitSeconds)) {
        return NOT_REACHED;
      }
      TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
    }
    return (System.nanoTime() - start) / NANOS_PER_SECOND;
  }

  private static <T> CompletableFuture<T> inBackground(Callable<T> task) {
    CompletableFuture<T> future = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try {
                future.complete(task.call());
              } catch (Exception e) {
                future.completeExceptionally(e);
              }
            },
            "scale-event");
    thread.setDaemon(true);
    thread.start();
    return future;
  }

  private void changesWhileATenthIsReplaced() throws Exception {
    Rack committer = fleet.racks().get(0);
    HollowMessages.Commit commit =
        new HollowMessages.Commit(committer.nodes().get(0), CHANGES, CHANGE_INTERVAL_MILLIS);
    CompletableFuture<Committed> committing =
        inBackground(() -> fleet.ask(committer, "/commit", commit, Committed.class));
    int replaced = replaceATenth();
    Committed committed = get(committing);
    TimeUnit.SECONDS.sleep(LAST_CHANGE_SECONDS);
    Map<String, Double> figures = lags(committed);
    figures.put("nodes replaced meanwhile", (double) replaced);
    record("100 configuration changes and a tenth of the nodes replaced in a minute", figures);
  }

  private static <T> T get(CompletableFuture<T> future) throws Exception {
    try {
      return future.get();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof Exception cause ? cause : e;
    }
  }

  /** Replaces nodes one after the other, spread over a minute; none of the committing rack. */
  private int replaceATenth() throws Exception {
    List<Rack> racks = fleet.racks();
    int total = racks.stream().mapToInt(rack -> rack.nodes().size()).sum() / REPLACED_SHARE;
    long start = System.nanoTime();
    long minute = TimeUnit.MILLISECONDS.toNanos(CHANGES * CHANGE_INTERVAL_MILLIS);
    int done = 0;
    while (done < total && System.nanoTime() - start < minute) {
      Rack rack = racks.get(1 + done % Math.max(1, racks.size() - 1));
      String old = rack.nodes().get(done / Math.max(1, racks.size() - 1));
      fleet.add(rack, "replacement-" + done);
      fleet.ask(rack, "/stop", new HollowMessages.Stop(List.of(old)), Done.class);
      fleet.unlist(old);
      done++;
      long due = start + minute * done / total;
      TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
    }
    return done;
  }

  /** Time from a change's acceptance until it or a later one was in force, over all nodes. */
  private Map<String, Double> lags(Committed committed) throws Exception {
    Histogram lag = new Histogram(3);
    long missing = 0;
    for (InForce rack : fleet.askAll("/in-force", new Ask(List.of()), InForce.class).values()) {
      for (Map.Entry<String, Map<Long, Long>> node : rack.millisByNode().entrySet()) {
        TreeMap<Long, Long> times = new TreeMap<>(node.getValue());
        for (Map.Entry<Long, Long> change : committed.acceptedMillis().entrySet()) {
          Map.Entry<Long, Long> inForce = times.ceilingEntry(change.getKey());
          boolean started = !times.isEmpty() && times.firstEntry().getValue() < change.getValue();
          if (inForce != null && started) {
            lag.recordValue(Math.max(0, inForce.getValue() - change.getValue()));
          } else if (started) {
            missing++;
          }
        }
      }
    }
    Map<String, Double> figures = new TreeMap<>();
    figures.put("changes accepted", (double) committed.acceptedMillis().size());
    figures.put("changes failed", (double) committed.failed());
    figures.put("lag p50 ms", (double) lag.getValueAtPercentile(50));
    figures.put("lag p99 ms", (double) lag.getValueAtPercentile(99));
    figures.put("lag max ms", (double) lag.getMaxValue());
    figures.put("observations", (double) lag.getTotalCount());
    figures.put("node and change pairs never in force", (double) missing);
    return figures;
  }

  private void regionsParted() throws Exception {
    List<Rack> first = racksOf("region-1");
    List<Rack> second = racksOf("region-2");
    List<String> remote = names(second);
    for (Rack rack : first) {
      block(rack, "region-2");
    }
    for (Rack rack : second) {
      block(rack, "region-1");
    }
    double noticed = secondsUntil(PARTITION_SECONDS, () -> pairsAlive(first, remote) == 0);
    int aliveAtHome = pairsAlive(first, names(first));
    long pairsAtHome = (long) names(first).size() * names(first).size();
    for (Rack rack : fleet.racks()) {
      fleet.ask(rack, "/block", new HollowMessages.Block(List.of()), Done.class);
    }
    long pairs = (long) names(first).size() * remote.size();
    double healed = secondsUntil(HEAL_LIMIT_SECONDS, () -> pairsAlive(first, remote) >= pairs);
    Map<String, Double> figures = new TreeMap<>();
    figures.put("all members of the other region shown as suspect after s", noticed);
    figures.put(
        "share of members of the own region seen alive", (double) aliveAtHome / pairsAtHome);
    figures.put("all alive again after s", healed);
    record("two regions parted (gossip) and back", figures);
  }

  private void block(Rack rack, String region) throws Exception {
    HollowMessages.Block block = new HollowMessages.Block(fleet.gossipAddresses(region));
    fleet.ask(rack, "/block", block, Done.class);
  }

  private List<Rack> racksOf(String region) {
    return fleet.racks().stream().filter(rack -> rack.region().equals(region)).toList();
  }

  /** Nodes of racks that were there from the start and were not replaced. */
  private List<String> names(List<Rack> racks) {
    Set<String> live = new HashSet<>();
    try {
      for (Rack rack : racks) {
        fleet
            .ask(rack, "/samples", new Ask(List.of()), HollowMessages.Samples.class)
            .nodes()
            .forEach(node -> live.add(node.node()));
      }
    } catch (Exception e) {
      throw new IllegalStateException("a rack does not answer", e);
    }
    return List.copyOf(live);
  }

  private int pairsAlive(List<Rack> observers, List<String> subjects) throws Exception {
    int pairs = 0;
    for (Rack rack : observers) {
      pairs += fleet.ask(rack, "/sight", new Ask(subjects), Sight.class).pairsAlive();
    }
    return pairs;
  }

  private void storeDown() throws Exception {
    int before = poolsLed().size();
    fleet
        .platform()
        .setFaults(
            new PlatformFaults(
                Set.of(PlatformFaults.Part.TABLE, PlatformFaults.Part.OBJECTS),
                Set.of(),
                0,
                0,
                ""));
    int lowest = before;
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STORE_DOWN_SECONDS);
    while (System.nanoTime() < end) {
      lowest = Math.min(lowest, poolsLed().size());
      TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
    }
    fleet.platform().setFaults(PlatformFaults.NONE);
    double back = secondsUntil(HEAL_LIMIT_SECONDS, () -> poolsLed().size() >= before);
    Map<String, Double> figures = new TreeMap<>();
    figures.put("seconds down", (double) STORE_DOWN_SECONDS);
    figures.put("pools with a valid lease before", (double) before);
    figures.put("lowest number of pools with a valid lease meanwhile", (double) lowest);
    figures.put("all pools led again after s", back);
    record("table and object store down", figures);
  }

  private Map<String, String> poolsLed() throws Exception {
    Map<String, String> leaders = new HashMap<>();
    for (Leaderships rack :
        fleet.askAll("/leaderships", new Ask(List.of()), Leaderships.class).values()) {
      rack.poolsByNode().forEach((node, pools) -> pools.forEach(pool -> leaders.put(pool, node)));
    }
    return leaders;
  }

  private void rackDies() throws Exception {
    List<Rack> racks = fleet.racks();
    die("a rack dies", List.of(racks.get(racks.size() - 1)), RACK_LIMIT_SECONDS);
  }

  private void zoneDies() throws Exception {
    List<Rack> zone = fleet.racks().stream().filter(rack -> rack.zone().equals("zone-2")).toList();
    die("a zone dies", zone, ZONE_LIMIT_SECONDS);
  }

  private void die(String name, List<Rack> dying, long limitSeconds) throws Exception {
    List<String> victims = names(dying);
    Map<String, String> leaders = poolsLed();
    Set<String> orphaned = new HashSet<>();
    leaders.forEach(
        (pool, leader) -> {
          if (victims.contains(leader)) {
            orphaned.add(pool);
          }
        });
    for (Rack rack : dying) {
      fleet.kill(rack);
    }
    long killed = System.nanoTime();
    CompletableFuture<Double> takenOver =
        inBackground(
            () -> secondsUntil(limitSeconds, () -> poolsLed().keySet().containsAll(orphaned)));
    String zone = dying.get(0).zone();
    List<Rack> sameZone = fleet.racks().stream().filter(rack -> rack.zone().equals(zone)).toList();
    double inZone =
        sameZone.isEmpty()
            ? NOT_REACHED
            : secondsUntil(limitSeconds, () -> pairsAlive(sameZone, victims) == 0);
    dying.forEach(fleet::unlist);
    double left = limitSeconds - (System.nanoTime() - killed) / NANOS_PER_SECOND;
    double further =
        secondsUntil((long) Math.max(1, left), () -> pairsAlive(fleet.racks(), victims) == 0);
    double everywhere = (System.nanoTime() - killed) / NANOS_PER_SECOND;
    Map<String, Double> figures = new TreeMap<>();
    figures.put("nodes", (double) victims.size());
    figures.put("no node of the zone sees one alive after s", inZone);
    figures.put("no node at all sees one alive after s", further < 0 ? NOT_REACHED : everywhere);
    figures.put("pools that lost their leader", (double) orphaned.size());
    figures.put("all of them led again after s", get(takenOver));
    record(name, figures);
  }
}
