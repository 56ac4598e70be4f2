package org.fallturn.rehearsal.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fallturn.rehearsal.simulator.SimulationResult;
import org.knowm.xchart.XYChart;

/** The charts of the roles experiment. Stateless. */
final class RolePlots {
  private static final double PERCENT = 100;

  private RolePlots() {}

  /** Goodput and prefill engines over time, of one seed. */
  static void overTime(Path folder, String name, Map<Contender, SimulationResult> run)
      throws IOException {
    XYChart goodput = Plots.lines(name + ": goodput", "seconds", "requests in time, %");
    XYChart roles = Plots.lines(name + ": roles", "seconds", "prefill engines");
    for (Contender contender : Contender.values()) {
      var timeline = run.get(contender).timeline();
      Plots.addLine(goodput, contender.title(), timeline.seconds(), timeline.goodputPercent());
      Plots.addLine(roles, contender.title(), timeline.seconds(), timeline.prefillEngines());
    }
    Plots.save(List.of(goodput, roles), folder.resolve("roles-" + name + ".png"));
  }

  /** Goodput against role changes, a point for each shift and contender. */
  static void goodputAgainstChanges(Path folder, String workload, List<RoleSummary> summaries)
      throws IOException {
    XYChart chart =
        Plots.points(
            workload + ": goodput against role changes, a point a shift",
            "role changes in a run",
            "requests in time, %");
    for (Contender contender : Contender.values()) {
      List<Double> changes = new ArrayList<>();
      List<Double> goodput = new ArrayList<>();
      for (RoleSummary summary : summaries) {
        boolean isHere = summary.workload().equals(workload);
        if (isHere && summary.contender().equals(contender.title())) {
          changes.add(summary.roleChanges().mean());
          goodput.add(PERCENT * summary.goodput().mean());
        }
      }
      chart.addSeries(contender.title(), changes, goodput);
    }
    Plots.save(List.of(chart), folder.resolve("roles-" + workload + "-changes.png"));
  }
}
