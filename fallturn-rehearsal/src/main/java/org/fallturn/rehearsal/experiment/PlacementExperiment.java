package org.fallturn.rehearsal.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToDoubleFunction;
import org.fallturn.core.roles.KeepRoles;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.simulator.Simulation;
import org.fallturn.rehearsal.simulator.SimulationResult;
import org.fallturn.rehearsal.simulator.SimulationSettings;
import org.fallturn.rehearsal.workload.Deployment;
import org.fallturn.rehearsal.workload.MixShift;
import org.fallturn.rehearsal.workload.Workload;
import org.fallturn.rehearsal.workload.WorkloadFile;
import org.fallturn.rehearsal.workload.WorkloadFileException;
import org.knowm.xchart.XYChart;

/**
 * Plays the placement policies against each other at several ages of load information, over the
 * same requests and fixed roles. The split of the roles is the one that serves the leader's policy
 * best on the first seed. Stateless.
 */
public final class PlacementExperiment implements Experiment {
  private static final List<String> DEFAULT_WORKLOADS = List.of("alava", "guatemala");
  private static final List<Long> LAGS_MILLIS = List.of(0L, 100L, 500L, 1000L, 2000L);
  private static final double PERCENT = 100;
  private static final double MILLIS_PER_SECOND = 1000;

  @Override
  public String name() {
    return "placement";
  }

  @Override
  public int run(ExperimentOptions options, PrintStream output) throws Exception {
    List<String> names = options.workloads().isEmpty() ? DEFAULT_WORKLOADS : options.workloads();
    List<PlacementSummary> summaries = new ArrayList<>();
    ExecutorService runners = Executors.newFixedThreadPool(options.threads());
    try {
      for (String name : names) {
        Workload workload = workload(name);
        for (MixShift shift : chosenShifts(workload, options)) {
          List<PlacementSummary> ofShift = playShift(workload, shift, options, runners);
          summaries.addAll(ofShift);
          plot(options.output(), workload.name() + "-" + shift.name(), ofShift);
          output.println("placement: Played " + workload.name() + " " + shift.name() + ".");
        }
      }
    } finally {
      runners.shutdownNow();
    }
    String text = text(summaries);
    Files.writeString(options.output().resolve("placement.txt"), text);
    Files.write(options.output().resolve("placement.json"), new JsonCodec().encode(summaries));
    output.println(text);
    return 0;
  }

  private static Workload workload(String name) throws IOException, WorkloadFileException {
    Path file = Path.of(name);
    return Files.isRegularFile(file) ? WorkloadFile.read(file) : WorkloadFile.builtIn(name);
  }

  private static List<MixShift> chosenShifts(Workload workload, ExperimentOptions options) {
    if (options.shifts().isEmpty()) {
      return workload.shifts().subList(0, 1);
    }
    return workload.shifts().stream()
        .filter(shift -> options.shifts().contains(shift.name()))
        .toList();
  }

  private static List<PlacementSummary> playShift(
      Workload workload, MixShift shift, ExperimentOptions options, ExecutorService runners)
      throws InterruptedException, ExecutionException {
    int prefill = bestSplit(workload, shift, options.firstSeed(), runners);
    List<PlacementSummary> summaries = new ArrayList<>();
    for (PlacementContender contender : PlacementContender.values()) {
      List<SimulationResult> results = List.of();
      for (long lag : LAGS_MILLIS) {
        if (results.isEmpty() || contender.usesLoadInformation()) {
          results = playSeeds(workload, shift, options, runners, contender, lag, prefill);
        }
        summaries.add(summary(workload, shift, contender, lag, results));
      }
    }
    return summaries;
  }

  private static List<SimulationResult> playSeeds(
      Workload workload,
      MixShift shift,
      ExperimentOptions options,
      ExecutorService runners,
      PlacementContender contender,
      long lag,
      int prefill)
      throws InterruptedException, ExecutionException {
    List<Future<SimulationResult>> pending = new ArrayList<>();
    for (int index = 0; index < options.seeds(); index++) {
      long seed = options.firstSeed() + index;
      pending.add(runners.submit(() -> play(workload, shift, seed, contender, lag, prefill)));
    }
    List<SimulationResult> results = new ArrayList<>();
    for (Future<SimulationResult> run : pending) {
      results.add(run.get());
    }
    return results;
  }

  private static int bestSplit(
      Workload workload, MixShift shift, long seed, ExecutorService runners)
      throws InterruptedException, ExecutionException {
    Deployment deployment = workload.deployment();
    int engines = deployment.engines() / deployment.models().size();
    List<Future<SimulationResult>> pending = new ArrayList<>();
    for (int split = 1; split < engines; split++) {
      int prefill = split;
      pending.add(
          runners.submit(() -> play(workload, shift, seed, PlacementContender.LEADER, 0, prefill)));
    }
    int best = 0;
    for (int index = 1; index < pending.size(); index++) {
      if (pending.get(index).get().goodput() > pending.get(best).get().goodput()) {
        best = index;
      }
    }
    return best + 1;
  }

  private static SimulationResult play(
      Workload workload,
      MixShift shift,
      long seed,
      PlacementContender contender,
      long lagMillis,
      int prefill) {
    return new Simulation(
            workload,
            shift,
            seed,
            SimulationSettings.DEFAULT.withLoadReportLag(lagMillis),
            engines -> prefill,
            pool -> contender.policy(pool, lagMillis, seed),
            pool -> new KeepRoles())
        .run();
  }

  private static PlacementSummary summary(
      Workload workload,
      MixShift shift,
      PlacementContender contender,
      long lagMillis,
      List<SimulationResult> results) {
    return new PlacementSummary(
        workload.name(),
        shift.name(),
        contender.title(),
        lagMillis,
        results.size(),
        spread(results, SimulationResult::goodput),
        spread(results, result -> result.urgent().inTimeShare()),
        spread(results, r -> (double) r.total().late() / Math.max(1, r.total().offered())));
  }

  private static Spread spread(
      List<SimulationResult> results, ToDoubleFunction<SimulationResult> figure) {
    return Spread.of(results.stream().map(figure::applyAsDouble).toList());
  }

  private static String text(List<PlacementSummary> summaries) {
    TextTable table =
        new TextTable(
            "workload", "shift", "policy", "lag ms", "goodput %", "+-", "urgent %", "late %");
    for (PlacementSummary summary : summaries) {
      table.add(
          summary.workload(),
          summary.shift(),
          summary.policy(),
          Long.toString(summary.lagMillis()),
          TextTable.number(PERCENT * summary.goodput().mean(), 2),
          TextTable.number(PERCENT * summary.goodput().deviation(), 2),
          TextTable.number(PERCENT * summary.urgentInTime().mean(), 2),
          TextTable.number(PERCENT * summary.late().mean(), 2));
    }
    return table.toString();
  }

  private static void plot(Path folder, String name, List<PlacementSummary> summaries)
      throws IOException {
    XYChart chart =
        Plots.lines(name, "age of load information, s", "requests in their deadline, %");
    for (PlacementContender contender : PlacementContender.values()) {
      List<Double> lags = new ArrayList<>();
      List<Double> goodput = new ArrayList<>();
      for (PlacementSummary summary : summaries) {
        if (summary.policy().equals(contender.title())) {
          lags.add(summary.lagMillis() / MILLIS_PER_SECOND);
          goodput.add(PERCENT * summary.goodput().mean());
        }
      }
      Plots.addLine(chart, contender.title(), lags, goodput);
    }
    Plots.save(List.of(chart), folder.resolve("placement-" + name + ".png"));
  }
}
