package org.fallturn.rehearsal.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.fallturn.rehearsal.scale.ScaleReport.Measurement;
import org.fallturn.rehearsal.scale.ScaleReport.RoleRates;

/** Writes the reports of several sizes as Markdown: each role's rates, their slopes, the events. */
final class ScaleTables {

  private static final int TWICE = 2;

  private final List<ScaleReport> reports;
  private final StringBuilder text = new StringBuilder();

  ScaleTables(List<ScaleReport> reports) {
    this.reports = reports.stream().sorted(Comparator.comparingInt(ScaleReport::nodes)).toList();
  }

  String write() {
    line("# Scale runs");
    line("");
    line(
        "Written by `experiment scale-tables` from the JSON files beside it. Means over the nodes");
    line("of a role; lowest and highest measurement in brackets.");
    runs();
    rates();
    slopes();
    perSecond("Store operations a second, whole fleet", Measurement::storeOperationsPerSecond);
    perSecond("Requests to hollow engines a second", Measurement::engineRequestsPerSecond);
    perSecond("Share of a core a node by thread, %", Measurement::cpuPercentByDuty);
    placements();
    events();
    return text.toString();
  }

  private void line(String format, Object... values) {
    text.append(values.length == 0 ? format : String.format(Locale.ROOT, format, values));
    text.append('\n');
  }

  private void heading(String title) {
    line("");
    line("## " + title);
    line("");
  }

  private void runs() {
    heading("Runs");
    line(
        "| nodes | engines | report interval | started | load average before | all listen after s"
            + " | heap MB a node | threads a node |");
    line("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (ScaleReport report : reports) {
      line(
          "| %d | %d | %s | %s | %.0f | %.0f | %s | %s |",
          report.nodes(),
          report.engines(),
          report.reportInterval(),
          report.startedAt(),
          report.loadAverageBefore(),
          report.startSeconds(),
          spread(report, Measurement::heapMegabytesPerNode, 1),
          spread(report, Measurement::threadsPerNode, 0));
    }
  }

  private static String spread(
      ScaleReport report, ToDoubleFunction<Measurement> figure, int digits) {
    double mean = report.rest().stream().mapToDouble(figure).average().orElse(0);
    double low = report.rest().stream().mapToDouble(figure).min().orElse(0);
    double high = report.rest().stream().mapToDouble(figure).max().orElse(0);
    String format = "%." + digits + "f (%." + digits + "f to %." + digits + "f)";
    return String.format(Locale.ROOT, format, mean, low, high);
  }

  private void rates() {
    heading("Each role at rest");
    line(
        "| nodes | role | of them | bytes/s out | bytes/s in | most out | gossip out / in"
            + " | peers out / in | platform out / in | engines out / in | messages/s | % of a core |");
    line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (ScaleReport report : reports) {
      for (String role : roles()) {
        rateLine(report, role);
      }
    }
  }

  private void rateLine(ScaleReport report, String role) {
    line(
        "| %d | %s | %.0f | %s | %s | %.0f | %.0f / %.0f | %.0f / %.0f | %.0f / %.0f | %.0f / %.0f"
            + " | %.1f | %s |",
        report.nodes(),
        role,
        mean(report, role, RoleRates::count),
        spread(report, rest -> of(rest, role, RoleRates::bytesOut), 0),
        spread(report, rest -> of(rest, role, RoleRates::bytesIn), 0),
        mean(report, role, RoleRates::highestBytesOut),
        mean(report, role, RoleRates::gossipOut),
        mean(report, role, RoleRates::gossipIn),
        mean(report, role, RoleRates::peerOut),
        mean(report, role, RoleRates::peerIn),
        mean(report, role, RoleRates::platformOut),
        mean(report, role, RoleRates::platformIn),
        mean(report, role, RoleRates::engineOut),
        mean(report, role, RoleRates::engineIn),
        mean(report, role, RoleRates::messages),
        spread(report, rest -> of(rest, role, RoleRates::cpuPercent), 2));
  }

  private List<String> roles() {
    return reports.get(0).rest().get(0).roles().stream().map(RoleRates::role).toList();
  }

  private static double of(
      Measurement measurement, String role, ToDoubleFunction<RoleRates> figure) {
    return measurement.roles().stream()
        .filter(rates -> rates.role().equals(role))
        .mapToDouble(figure)
        .findFirst()
        .orElse(0);
  }

  private static double mean(ScaleReport report, String role, ToDoubleFunction<RoleRates> figure) {
    return report.rest().stream().mapToDouble(rest -> of(rest, role, figure)).average().orElse(0);
  }

  private void slopes() {
    heading("Slopes over the number of nodes (engines in proportion)");
    line("Least squares over every measurement at rest. The last column is the line at twice the");
    line("largest size: extrapolated.");
    line("");
    line(
        "| role | figure | at 0 nodes | for each node more | farthest point | at twice the size |");
    line("| --- | --- | --- | --- | --- | --- |");
    for (String role : roles()) {
      slopeLine(role, "bytes/s out", RoleRates::bytesOut);
      slopeLine(role, "bytes/s in", RoleRates::bytesIn);
      slopeLine(role, "gossip bytes/s out", RoleRates::gossipOut);
      slopeLine(role, "% of a core", RoleRates::cpuPercent);
    }
  }

  private void slopeLine(String role, String figure, ToDoubleFunction<RoleRates> rate) {
    List<Slope.Point> points = new ArrayList<>();
    for (ScaleReport report : reports) {
      for (Measurement rest : report.rest()) {
        points.add(new Slope.Point(report.nodes(), of(rest, role, rate)));
      }
    }
    Slope slope = Slope.through(points);
    double twice = TWICE * reports.get(reports.size() - 1).nodes();
    line(
        "| %s | %s | %.2f | %.4f | %.2f | %.2f |",
        role, figure, slope.atZero(), slope.perUnit(), slope.largestResidual(), slope.at(twice));
  }

  private void perSecond(String title, Function<Measurement, Map<String, Double>> figure) {
    heading(title);
    Map<String, Map<ScaleReport, Double>> table = new TreeMap<>();
    for (ScaleReport report : reports) {
      for (Measurement rest : report.rest()) {
        figure
            .apply(rest)
            .forEach(
                (kind, rate) ->
                    table
                        .computeIfAbsent(kind, ignored -> new HashMap<>())
                        .merge(report, rate / report.rest().size(), Double::sum));
      }
    }
    StringBuilder head = new StringBuilder("| kind |");
    reports.forEach(report -> head.append(" ").append(report.nodes()).append(" nodes |"));
    line(head.toString());
    line("| --- |" + " --- |".repeat(reports.size()));
    table.forEach(
        (kind, byReport) -> {
          StringBuilder row = new StringBuilder("| " + kind + " |");
          reports.forEach(
              report ->
                  row.append(
                      String.format(Locale.ROOT, " %.2f |", byReport.getOrDefault(report, 0.0))));
          line(row.toString());
        });
  }

  private void placements() {
    heading("While placements are asked for (path of requests, not control)");
    line(
        "| nodes | placed | refused | failed | seconds | role | bytes/s out | bytes/s in"
            + " | messages/s | % of a core |");
    line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (ScaleReport report : reports) {
      for (Measurement load : report.underPlacements()) {
        for (RoleRates role : load.roles()) {
          line(
              "| %d | %d | %d | %d | %.0f | %s | %.0f | %.0f | %.1f | %.2f |",
              report.nodes(),
              load.placed(),
              load.refused(),
              load.failed(),
              load.seconds(),
              role.role(),
              role.bytesOut(),
              role.bytesIn(),
              role.messages(),
              role.cpuPercent());
        }
      }
    }
  }

  private void events() {
    heading("Events");
    line(
        "Seconds unless the name says otherwise; -1 where the limit of the experiment passed first.");
    line("");
    line("| nodes | event | figure | value |");
    line("| --- | --- | --- | --- |");
    for (ScaleReport report : reports) {
      for (ScaleReport.Event event : report.events()) {
        event
            .figures()
            .forEach(
                (name, value) ->
                    line("| %d | %s | %s | %.2f |", report.nodes(), event.name(), name, value));
      }
    }
  }
}
