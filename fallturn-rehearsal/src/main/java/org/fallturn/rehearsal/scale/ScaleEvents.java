package org.fallturn.rehearsal.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.fallturn.node.http.RemoteCallException;
import org.fallturn.rehearsal.platform.PlatformFaults;
import org.fallturn.rehearsal.scale.HollowMessages.Ask;
import org.fallturn.rehearsal.scale.HollowMessages.Committed;
import org.fallturn.rehearsal.scale.HollowMessages.Done;
import org.fallturn.rehearsal.scale.HollowMessages.InForce;
import org.fallturn.rehearsal.scale.HollowMessages.Leaderships;
import org.fallturn.rehearsal.scale.HollowMessages.LoadResult;
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
  private static final long CHANGE_INTERVAL_MILLIS = 600;
  private static final int REPLACED_SHARE = 10;
  private static final long RACK_LIMIT_SECONDS = 30;
  private static final long ZONE_LIMIT_SECONDS = 40;
  private static final long PARTITION_SECONDS = 35;
  private static final long HEAL_LIMIT_SECONDS = 30;
  private static final long STORE_DOWN_SECONDS = 20;
  private static final long LAST_CHANGE_SECONDS = 5;

  private static final double PLACEMENT_SHARE = 10;
  private static final long PLACEMENT_START_SECONDS = 3;
  private static final int CHANGES_AT_ONCE = 10;

  private final ScaleFleet fleet;
  private final double placementsPerSecond;
  private final int changes;
  private final List<ScaleReport.Event> events = new ArrayList<>();

  /** Plays nothing yet. While events are played each node asks for a tenth of the placements. */
  ScaleEvents(ScaleFleet fleet, ScalePlan plan) {
    this.fleet = fleet;
    this.changes = plan.changes();
    this.placementsPerSecond = plan.placementsPerSecond() / plan.nodes() / PLACEMENT_SHARE;
  }

  List<ScaleReport.Event> play(List<ScaleEvent> chosen) throws Exception {
    if (!chosen.isEmpty()) {
      fleet.askAll(
          "/load",
          new HollowMessages.Load(placementsPerSecond, ScaleConfiguration.models()),
          Done.class);
      TimeUnit.SECONDS.sleep(PLACEMENT_START_SECONDS);
    }
    for (ScaleEvent event : chosen) {
      try {
        play(event);
      } catch (IOException | RemoteCallException e) {
        System.out.println(event.option() + " could not be played to its end: " + e);
        events.add(new ScaleReport.Event(event.option(), Map.of("not played to its end", 1.0)));
      }
    }
    return events;
  }

  private void play(ScaleEvent event) throws Exception {
    Map<Rack, LoadResult> before =
        fleet.askAll("/load-result", new Ask(List.of()), LoadResult.class);
    long refusedBefore = fleet.engines().refusedOrders();
    Map<String, Double> figures =
        switch (event) {
          case CHANGES -> changesWhileATenthIsReplaced();
          case PARTITION -> regionsParted();
          case STORE -> storeDown();
          case RACK -> rackDies();
          case ZONE -> zoneDies();
        };
    figures.put(
        "orders refused by the fence", (double) fleet.engines().refusedOrders() - refusedBefore);
    figures.putAll(placementsSince(before));
    events.add(new ScaleReport.Event(event.option(), figures));
    System.out.println(event.option() + ": " + figures);
  }

  /** What became of placements at the racks that are still there. */
  private Map<String, Double> placementsSince(Map<Rack, LoadResult> before) throws Exception {
    double placed = 0;
    double refused = 0;
    double failed = 0;
    double withoutLeader = 0;
    for (Map.Entry<Rack, LoadResult> rack :
        fleet.askAll("/load-result", new Ask(List.of()), LoadResult.class).entrySet()) {
      LoadResult result = rack.getValue();
      placed += result.placed();
      refused += result.refused();
      failed += result.failed();
      LoadResult then = before.get(rack.getKey());
      withoutLeader += Math.max(0, result.withoutLeader() - then.withoutLeader());
    }
    Map<String, Double> figures = new TreeMap<>();
    figures.put("placements placed", placed);
    figures.put("placements refused", refused);
    figures.put("placements failed", failed);
    figures.put("placements without a leader", withoutLeader);
    return figures;
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

  private Map<String, Double> changesWhileATenthIsReplaced() throws Exception {
    Rack committer = fleet.racks().get(0);
    CompletableFuture<Committed> committing = inBackground(() -> commitChanges(committer));
    int replaced = replaceATenth();
    Committed committed = get(committing);
    TimeUnit.SECONDS.sleep(LAST_CHANGE_SECONDS);
    Map<String, Double> figures = lags(committed);
    figures.put("nodes replaced meanwhile", (double) replaced);
    return figures;
  }

  private Committed commitChanges(Rack committer) throws Exception {
    HollowMessages.Commit commit =
        new HollowMessages.Commit(
            committer.nodes().get(0), CHANGES_AT_ONCE, CHANGE_INTERVAL_MILLIS);
    Map<Long, Long> accepted = new TreeMap<>();
    int failed = 0;
    for (int done = 0; done < changes; done += CHANGES_AT_ONCE) {
      Committed part = fleet.ask(committer, "/commit", commit, Committed.class);
      accepted.putAll(part.acceptedMillis());
      failed += part.failed();
    }
    return new Committed(accepted, failed);
  }

  private static <T> T get(CompletableFuture<T> future) throws Exception {
    try {
      return future.get();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof Exception cause ? cause : e;
    }
  }

  /** Replaces nodes at an even pace over a minute; none of the committing rack. */
  private int replaceATenth() throws Exception {
    List<Rack> racks = fleet.racks().subList(1, fleet.racks().size());
    int total = racks.stream().mapToInt(rack -> rack.nodes().size()).sum() / REPLACED_SHARE;
    long pace = changes * CHANGE_INTERVAL_MILLIS / Math.max(1, total);
    List<CompletableFuture<Boolean>> replacing = new ArrayList<>();
    for (int index = 0; index < total; index++) {
      Rack rack = racks.get(index % racks.size());
      String old = rack.nodes().get(index / racks.size());
      String replacement = "replacement-" + index;
      replacing.add(inBackground(() -> replace(rack, old, replacement)));
      TimeUnit.MILLISECONDS.sleep(pace);
    }
    int done = 0;
    for (CompletableFuture<Boolean> replaced : replacing) {
      done += get(replaced) ? 1 : 0;
    }
    return done;
  }

  private boolean replace(Rack rack, String old, String replacement) throws Exception {
    fleet.add(rack, replacement);
    fleet.ask(rack, "/stop", new HollowMessages.Stop(List.of(old)), Done.class);
    fleet.unlist(old);
    return true;
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

  private Map<String, Double> regionsParted() throws Exception {
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
    return figures;
  }

  private void block(Rack rack, String region) throws Exception {
    HollowMessages.Block block = new HollowMessages.Block(fleet.gossipAddresses(region));
    fleet.ask(rack, "/block", block, Done.class);
  }

  private List<Rack> racksOf(String region) {
    return fleet.racks().stream().filter(rack -> rack.region().equals(region)).toList();
  }

  private List<String> names(List<Rack> racks) throws Exception {
    List<String> names = new ArrayList<>();
    for (Rack rack : racks) {
      names.addAll(
          fleet.ask(rack, "/names", new Ask(List.of()), HollowMessages.Names.class).nodes());
    }
    return names;
  }

  private int pairsAlive(List<Rack> observers, List<String> subjects) throws Exception {
    int pairs = 0;
    for (Rack rack : observers) {
      pairs += fleet.ask(rack, "/sight", new Ask(subjects), Sight.class).pairsAlive();
    }
    return pairs;
  }

  private Map<String, Double> storeDown() throws Exception {
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
    LongSummaryStatistics led = new LongSummaryStatistics();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STORE_DOWN_SECONDS);
    while (System.nanoTime() < end) {
      int now = poolsLed().size();
      lowest = Math.min(lowest, now);
      led.accept(now);
      TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
    }
    fleet.platform().setFaults(PlatformFaults.NONE);
    double back = secondsUntil(HEAL_LIMIT_SECONDS, () -> poolsLed().size() >= before);
    Map<String, Double> figures = new TreeMap<>();
    figures.put("seconds down", (double) STORE_DOWN_SECONDS);
    figures.put("pools with a valid lease before", (double) before);
    figures.put("lowest number of pools with a valid lease meanwhile", (double) lowest);
    figures.put("mean number of pools with a valid lease meanwhile", led.getAverage());
    figures.put("all pools led again after s", back);
    return figures;
  }

  /** Leaders with a valid lease by pool; of node processes the lease's row is taken for it. */
  private Map<String, String> poolsLed() throws Exception {
    Map<String, String> leaders = new HashMap<>(fleet.poolsOfRealNodes());
    for (Leaderships rack :
        fleet.askAll("/leaderships", new Ask(List.of()), Leaderships.class).values()) {
      rack.poolsByNode().forEach((node, pools) -> pools.forEach(pool -> leaders.put(pool, node)));
    }
    return leaders;
  }

  /** Kills the rack whose nodes lead most pools. */
  private Map<String, Double> rackDies() throws Exception {
    Rack leading = fleet.racks().get(0);
    int most = -1;
    for (Map.Entry<Rack, Leaderships> rack :
        fleet.askAll("/leaderships", new Ask(List.of()), Leaderships.class).entrySet()) {
      int pools = rack.getValue().poolsByNode().values().stream().mapToInt(List::size).sum();
      if (pools > most) {
        most = pools;
        leading = rack.getKey();
      }
    }
    return die(List.of(leading), RACK_LIMIT_SECONDS);
  }

  private Map<String, Double> zoneDies() throws Exception {
    List<Rack> zone = fleet.racks().stream().filter(rack -> rack.zone().equals("zone-2")).toList();
    return die(zone, ZONE_LIMIT_SECONDS);
  }

  private Map<String, Double> die(List<Rack> dying, long limitSeconds) throws Exception {
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
    if (!sameZone.isEmpty()) {
      figures.put("every node of the zone sees them suspect or dead after s", inZone);
    }
    figures.put(
        "every node sees them suspect or dead after s", further < 0 ? NOT_REACHED : everywhere);
    figures.put("pools that lost their leader", (double) orphaned.size());
    figures.put("all of them led again after s", get(takenOver));
    return figures;
  }
}
