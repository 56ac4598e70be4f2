package org.fallturn.rehearsal.limits;

import java.io.PrintStream;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.experiment.Experiment;
import org.fallturn.rehearsal.experiment.ExperimentOptions;
import org.fallturn.rehearsal.experiment.TextTable;
import org.fallturn.rehearsal.limits.LimitsScenario.Failure;

/**
 * {@code experiment limits}: simulated fleets under skew, moving traffic, lost messages, deaths and
 * partitions. Prints how far the sum of shares and the admitted rate came to the limit, and what
 * control messages cost.
 */
public final class LimitsExperiment implements Experiment {

  private static final double ROUNDING = 1e-6;
  private static final int MAX_SEEDS = 3;

  private static final List<LimitsScenario> SCENARIOS =
      List.of(
          new LimitsScenario("even, 3x limit", 8, 4, 50, 3, 8, 1000, 0, 60, List.of()),
          new LimitsScenario("one node, 3x limit", 8, 4, 50, 3, 1, 1000, 0, 60, List.of()),
          new LimitsScenario("moves each 10 s, 3x limit", 8, 4, 50, 3, 1, 10, 0, 65, List.of()),
          new LimitsScenario("even, 0.9x limit", 8, 4, 50, 0.9, 8, 1000, 0, 60, List.of()),
          new LimitsScenario("4 nodes, 0.5x limit", 8, 16, 50, 0.5, 4, 1000, 0, 90, List.of()),
          new LimitsScenario(
              "same, two nodes die",
              8,
              16,
              50,
              0.5,
              4,
              1000,
              0,
              90,
              List.of(new Failure.Death(30, 7), new Failure.Death(45, 6))),
          new LimitsScenario(
              "partition 3 of 8, 3x limit",
              8,
              4,
              50,
              3,
              4,
              8,
              20,
              90,
              List.of(new Failure.Partition(20, 3), new Failure.Partition(55, 0))),
          new LimitsScenario(
              "62 nodes, 410 tenants", 62, 410, 11, 0.17, 62, 1000, 0, 30, List.of()),
          new LimitsScenario(
              "370 nodes, 410 tenants", 370, 410, 50, 0.2, 370, 1000, 0, 20, List.of()));

  /** One scenario's result with one seed. */
  private record Result(String scenario, long seed, LimitsOutcome outcome) {}

  @Override
  public String name() {
    return "limits";
  }

  @Override
  public int run(ExperimentOptions options, PrintStream output) throws Exception {
    TextTable table =
        new TextTable(
            "scenario",
            "seed",
            "offered",
            "admitted",
            "use",
            "worst share sum",
            "worst window",
            "refused after 15 s",
            "bytes/s a node",
            "messages/s a node");
    List<Result> results = new ArrayList<>();
    for (LimitsScenario scenario : SCENARIOS) {
      for (int index = 0; index < Math.min(MAX_SEEDS, options.seeds()); index++) {
        long seed = options.firstSeed() + index;
        LimitsOutcome outcome = new LimitsSimulation(scenario, seed).run();
        results.add(new Result(scenario.name(), seed, outcome));
        addRow(table, scenario, seed, outcome);
      }
    }
    output.print(table);
    Files.write(options.output().resolve("limits.json"), new JsonCodec().encode(results));
    boolean held =
        results.stream()
            .allMatch(
                result ->
                    result.outcome().worstShareSum() <= 1 + ROUNDING
                        && result.outcome().worstWindow() <= 1);
    output.println(held ? "no limit was passed" : "A LIMIT WAS PASSED");
    return held ? 0 : 1;
  }

  private static void addRow(
      TextTable table, LimitsScenario scenario, long seed, LimitsOutcome outcome) {
    table.add(
        scenario.name(),
        Long.toString(seed),
        Long.toString(outcome.offered()),
        Long.toString(outcome.admitted()),
        TextTable.number(outcome.useReached(), 3),
        TextTable.number(outcome.worstShareSum(), 3),
        TextTable.number(outcome.worstWindow(), 3),
        Long.toString(outcome.refusedLater()),
        TextTable.number(outcome.bytesPerNodePerSecond(), 0),
        TextTable.number(outcome.messagesPerNodePerSecond(), 1));
  }
}
