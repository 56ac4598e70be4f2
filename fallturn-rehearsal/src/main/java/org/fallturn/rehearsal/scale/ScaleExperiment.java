package org.fallturn.rehearsal.scale;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fallturn.rehearsal.scale.HollowMessages.Ask;
import org.fallturn.rehearsal.scale.HollowMessages.Done;
import org.fallturn.rehearsal.scale.HollowMessages.Load;
import org.fallturn.rehearsal.scale.HollowMessages.LoadResult;

/** Runs a fleet of hollow nodes and measures what control costs each role. */
final class ScaleExperiment {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double SMALLEST_PRINTED = 0.01;
  private static final LoadResult NO_PLACEMENTS = new LoadResult(0, 0, 0, 0);

  private final ScalePlan plan;
  private final PrintStream out;

  ScaleExperiment(ScalePlan plan, PrintStream out) {
    this.plan = plan;
    this.out = out;
  }

  ScaleReport run(Path logs) throws Exception {
    double loadBefore = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    String startedAt = Instant.now().toString();
    long start = System.nanoTime();
    try (ScaleFleet fleet = ScaleFleet.start(plan, logs)) {
      double startSeconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
      out.printf("%d nodes listen after %.1f s%n", plan.nodes(), startSeconds);
      TimeUnit.SECONDS.sleep(plan.settleSeconds());
      List<ScaleReport.Measurement> rest = measureRest(fleet);
      List<ScaleReport.Measurement> placements =
          plan.events().isEmpty() ? measurePlacements(fleet) : List.of();
      List<ScaleReport.Event> events = new ScaleEvents(fleet, plan).play(plan.events());
      return new ScaleReport(
          startedAt,
          plan.nodes(),
          plan.engines(),
          plan.realNodes(),
          plan.realEngines(),
          plan.reportInterval(),
          Runtime.getRuntime().availableProcessors(),
          loadBefore,
          startSeconds,
          rest,
          placements,
          events);
    }
  }

  private List<ScaleReport.Measurement> measureRest(ScaleFleet fleet) throws Exception {
    List<ScaleReport.Measurement> measurements = new ArrayList<>();
    ScaleSamples before = ScaleSamples.of(fleet);
    for (int index = 0; index < plan.measurements(); index++) {
      TimeUnit.SECONDS.sleep(plan.measureSeconds());
      ScaleSamples after = ScaleSamples.of(fleet);
      ScaleReport.Measurement measurement = after.since(before, NO_PLACEMENTS);
      measurements.add(measurement);
      print("at rest", measurement);
      before = after;
    }
    return measurements;
  }

  private List<ScaleReport.Measurement> measurePlacements(ScaleFleet fleet) throws Exception {
    if (plan.placementsPerSecond() <= 0) {
      return List.of();
    }
    double perNode = plan.placementsPerSecond() / plan.nodes();
    fleet.askAll("/load", new Load(perNode, ScaleConfiguration.models()), Done.class);
    TimeUnit.SECONDS.sleep(2);
    takePlacements(fleet);
    ScaleSamples before = ScaleSamples.of(fleet);
    TimeUnit.SECONDS.sleep(plan.measureSeconds());
    ScaleSamples after = ScaleSamples.of(fleet);
    LoadResult result = takePlacements(fleet);
    fleet.askAll("/load", new Load(0, List.of()), Done.class);
    ScaleReport.Measurement measurement = after.since(before, result);
    print("while placements are asked for", measurement);
    out.printf(
        "placed %d, refused %d, failed %d, without leader since start %.0f%n",
        result.placed(), result.refused(), result.failed(), result.withoutLeader());
    return List.of(measurement);
  }

  private static LoadResult takePlacements(ScaleFleet fleet) throws Exception {
    LoadResult sum = NO_PLACEMENTS;
    for (LoadResult rack :
        fleet.askAll("/load-result", new Ask(List.of()), LoadResult.class).values()) {
      sum =
          new LoadResult(
              sum.placed() + rack.placed(),
              sum.refused() + rack.refused(),
              sum.failed() + rack.failed(),
              sum.withoutLeader() + rack.withoutLeader());
    }
    return sum;
  }

  private void print(String when, ScaleReport.Measurement measurement) {
    out.printf(
        "%s, over %.0f s; heap %.1f MB a node, %.0f threads%n",
        when,
        measurement.seconds(),
        measurement.heapMegabytesPerNode(),
        measurement.threadsPerNode());
    out.println(
        "role                   nodes  out_B/s   in_B/s  max_out gossip_o gossip_i  peer_o"
            + "  peer_i plat_o plat_i engine_o engine_i  msg/s  cpu_%");
    for (ScaleReport.RoleRates role : measurement.roles()) {
      out.printf(
          "%-22s %5d %8.0f %8.0f %8.0f %8.0f %8.0f %7.0f %7.0f %6.0f %6.0f %8.0f %8.0f %6.1f %6.2f%n",
          role.role(),
          role.count(),
          role.bytesOut(),
          role.bytesIn(),
          role.highestBytesOut(),
          role.gossipOut(),
          role.gossipIn(),
          role.peerOut(),
          role.peerIn(),
          role.platformOut(),
          role.platformIn(),
          role.engineOut(),
          role.engineIn(),
          role.messages(),
          role.cpuPercent());
    }
    printRates("store operations/s", measurement.storeOperationsPerSecond());
    printRates("engine requests/s", measurement.engineRequestsPerSecond());
    printRates("cpu % of a core a node by thread", measurement.cpuPercentByDuty());
  }

  private void printRates(String title, Map<String, Double> rates) {
    out.print(title + ":");
    rates.forEach(
        (kind, rate) -> {
          if (rate >= SMALLEST_PRINTED) {
            out.printf(" %s=%.2f", kind, rate);
          }
        });
    out.println();
  }
}
