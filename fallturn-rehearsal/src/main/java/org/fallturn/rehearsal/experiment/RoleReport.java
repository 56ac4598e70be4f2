package org.fallturn.rehearsal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.fallturn.rehearsal.simulator.SimulationResult;

/** Sums the runs of one shift up and renders the table. Not thread-safe. */
final class RoleReport {
  private static final double PERCENT = 100;

  private final List<RoleSummary> summaries = new ArrayList<>();

  /** Adds the runs of one shift, one entry a seed. */
  void add(String workload, String shift, List<Map<Contender, SimulationResult>> runs) {
    double oracleGoodput = mean(runs, Contender.ORACLE, SimulationResult::goodput);
    double oracleChanges = mean(runs, Contender.ORACLE, SimulationResult::roleChanges);
    for (Contender contender : Contender.values()) {
      Spread goodput = spread(runs, contender, SimulationResult::goodput);
      Spread changes = spread(runs, contender, SimulationResult::roleChanges);
      Spread urgent = spread(runs, contender, result -> result.urgent().inTimeShare());
      summaries.add(
          new RoleSummary(
              workload,
              shift,
              contender.title(),
              runs.size(),
              goodput,
              urgent,
              changes,
              goodput.mean() / oracleGoodput,
              changes.mean() / Math.max(1, oracleChanges)));
    }
  }

  List<RoleSummary> summaries() {
    return summaries;
  }

  /** The workloads played, each once. */
  List<String> workloads() {
    return summaries.stream().map(RoleSummary::workload).distinct().toList();
  }

  private static double mean(
      List<Map<Contender, SimulationResult>> runs,
      Contender contender,
      ToDoubleFunction<SimulationResult> figure) {
    return spread(runs, contender, figure).mean();
  }

  private static Spread spread(
      List<Map<Contender, SimulationResult>> runs,
      Contender contender,
      ToDoubleFunction<SimulationResult> figure) {
    return Spread.of(runs.stream().map(run -> figure.applyAsDouble(run.get(contender))).toList());
  }

  /** One row for each shift and contender. */
  String text() {
    TextTable table =
        new TextTable(
            "workload",
            "shift",
            "policy",
            "goodput %",
            "+-",
            "least",
            "of oracle %",
            "urgent in time %",
            "least",
            "changes",
            "+-",
            "of oracle");
    for (RoleSummary summary : summaries) {
      table.add(
          summary.workload(),
          summary.shift(),
          summary.contender(),
          TextTable.number(PERCENT * summary.goodput().mean(), 2),
          TextTable.number(PERCENT * summary.goodput().deviation(), 2),
          TextTable.number(PERCENT * summary.goodput().least(), 2),
          TextTable.number(PERCENT * summary.goodputOfOracle(), 2),
          TextTable.number(PERCENT * summary.urgentInTime().mean(), 2),
          TextTable.number(PERCENT * summary.urgentInTime().least(), 2),
          TextTable.number(summary.roleChanges().mean(), 1),
          TextTable.number(summary.roleChanges().deviation(), 1),
          TextTable.number(summary.roleChangesOfOracle(), 2));
    }
    return table.toString();
  }
}
