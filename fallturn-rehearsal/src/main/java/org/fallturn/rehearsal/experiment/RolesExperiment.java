package org.fallturn.rehearsal.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.simulator.SimulationResult;
import org.fallturn.rehearsal.simulator.SimulationSettings;
import org.fallturn.rehearsal.workload.MixShift;
import org.fallturn.rehearsal.workload.Workload;
import org.fallturn.rehearsal.workload.WorkloadFile;
import org.fallturn.rehearsal.workload.WorkloadFileException;

/**
 * Plays every shift of the mix with the role policy, an oracle, the best fixed split and a
 * threshold controller, all over the same scheduler and the same requests. Stateless.
 */
public final class RolesExperiment implements Experiment {
  private static final List<String> DEFAULT_WORKLOADS = List.of("alava", "guatemala");

  @Override
  public String name() {
    return "roles";
  }

  @Override
  public int run(ExperimentOptions options, PrintStream output) throws Exception {
    List<String> names = options.workloads().isEmpty() ? DEFAULT_WORKLOADS : options.workloads();
    RoleReport report = new RoleReport();
    List<String> missed = new ArrayList<>();
    ExecutorService runners = Executors.newFixedThreadPool(options.threads());
    try {
      List<ShiftRuns> submitted = new ArrayList<>();
      for (String name : names) {
        Workload workload = workload(name);
        for (MixShift shift : chosenShifts(workload, options)) {
          submitted.add(submit(workload, shift, options, runners));
        }
      }
      for (ShiftRuns runs : submitted) {
        missed.addAll(collect(runs, options, report, output));
      }
    } finally {
      runners.shutdownNow();
    }
    for (String workload : report.workloads()) {
      RolePlots.goodputAgainstChanges(options.output(), workload, report.summaries());
    }
    String text = report.text() + "\n" + verdict(missed);
    Files.writeString(options.output().resolve("roles.txt"), text);
    Files.write(options.output().resolve("roles.json"), new JsonCodec().encode(report.summaries()));
    output.println(text);
    return 0;
  }

  private static Workload workload(String name) throws IOException, WorkloadFileException {
    Path file = Path.of(name);
    return Files.isRegularFile(file) ? WorkloadFile.read(file) : WorkloadFile.builtIn(name);
  }

  private static List<MixShift> chosenShifts(Workload workload, ExperimentOptions options) {
    return workload.shifts().stream()
        .filter(shift -> options.shifts().isEmpty() || options.shifts().contains(shift.name()))
        .toList();
  }

  private static ShiftRuns submit(
      Workload workload, MixShift shift, ExperimentOptions options, ExecutorService runners) {
    List<Future<Map<Contender, SimulationResult>>> pending = new ArrayList<>();
    for (int index = 0; index < options.seeds(); index++) {
      long seed = options.firstSeed() + index;
      RoleCase roleCase = new RoleCase(workload, shift, seed, SimulationSettings.DEFAULT);
      pending.add(runners.submit(() -> RoleContest.play(roleCase)));
    }
    return new ShiftRuns(workload, shift, pending);
  }

  private static List<String> collect(
      ShiftRuns submitted, ExperimentOptions options, RoleReport report, PrintStream output)
      throws InterruptedException, ExecutionException, IOException {
    Workload workload = submitted.workload();
    MixShift shift = submitted.shift();
    List<Map<Contender, SimulationResult>> runs = new ArrayList<>();
    for (Future<Map<Contender, SimulationResult>> run : submitted.pending()) {
      runs.add(run.get());
    }
    report.add(workload.name(), shift.name(), runs);
    output.println("roles: Played " + workload.name() + " " + shift.name() + ".");
    String name = workload.name() + "-" + shift.name();
    RolePlots.overTime(options.output(), name, runs.get(0));
    Files.writeString(options.output().resolve("roles.txt"), report.text());
    int contenders = Contender.values().length;
    List<RoleSummary> all = report.summaries();
    boolean weighsChanges = workload.deployment().roleChangeWeight() > 0;
    return RoleTargets.missed(all.subList(all.size() - contenders, all.size()), weighsChanges);
  }

  private static String verdict(List<String> missed) {
    if (missed.isEmpty()) {
      return "Every target is met.\n";
    }
    return "Targets missed:\n  " + String.join("\n  ", missed) + "\n";
  }

  private record ShiftRuns(
      Workload workload, MixShift shift, List<Future<Map<Contender, SimulationResult>>> pending) {}
}
