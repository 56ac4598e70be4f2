package org.fallturn.rehearsal.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.fallturn.core.domain.RequestId;
import org.fallturn.rehearsal.application.ExecutionCounts;
import org.fallturn.rehearsal.engine.EngineJournal;

/**
 * Result of a load.
 *
 * @param all all classes together
 * @param classes each class
 * @param durationSeconds time from the first request to the last answer
 * @param doubled business keys and model requests that back ends ran twice from the start
 * @param cutByOrders streams that an order to an engine cut
 * @param roleChanges role changes that engines began
 * @param problems the first answers that were wrong or unknown, one line each
 */
public record RunReport(
    ClassReport all,
    List<ClassReport> classes,
    double durationSeconds,
    long doubled,
    long cutByOrders,
    long roleChanges,
    List<String> problems) {

  /** Private copies of the lists. */
  public RunReport {
    classes = List.copyOf(classes);
    problems = List.copyOf(problems);
  }

  /** The same with what the back ends' journals say. */
  public RunReport withJournals(List<EngineJournal> engines, List<ExecutionCounts> applications) {
    long changes = engines.stream().mapToLong(EngineJournal::roleChangesStarted).sum();
    long cut = engines.stream().mapToLong(EngineJournal::requestsCutByOrder).sum();
    return new RunReport(
        all,
        classes,
        durationSeconds,
        doubledAnswers(engines) + doubledExecutions(applications),
        cut,
        changes,
        problems);
  }

  /** Whether every answer was whole and right and nothing ran twice. */
  public boolean isClean() {
    return all.requests() > 0
        && all.unsent() == 0
        && all.complete() == all.requests()
        && doubled == 0
        && cutByOrders == 0;
  }

  private static long doubledAnswers(List<EngineJournal> engines) {
    Map<RequestId, Integer> whole = new HashMap<>();
    for (EngineJournal engine : engines) {
      for (EngineJournal.RequestEntry entry : engine.requests()) {
        boolean finished = entry.end() == EngineJournal.End.FINISHED;
        if (finished && entry.kind() == EngineJournal.Kind.GENERATE && entry.startOffset() == 0) {
          whole.merge(entry.requestId(), 1, Integer::sum);
        }
      }
    }
    return whole.values().stream().filter(count -> count > 1).count();
  }

  private static long doubledExecutions(List<ExecutionCounts> applications) {
    Map<String, Integer> executions = new HashMap<>();
    for (ExecutionCounts counts : applications) {
      counts.perKey().forEach((key, count) -> executions.merge(key, count, Integer::sum));
    }
    return executions.values().stream().filter(count -> count > 1).count();
  }

  /** The report as a table for people. */
  public String toTable() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            Locale.ROOT,
            "%-24s %8s %8s %8s %7s %7s %6s %7s %8s",
            "class",
            "requests",
            "complete",
            "in time",
            "not run",
            "unknown",
            "wrong",
            "gave up",
            "goodput"));
    classes.forEach(report -> lines.add(counts(report)));
    lines.add(counts(all));
    lines.add("");
    lines.add(
        String.format(
            Locale.ROOT,
            "%-24s %27s %27s %27s",
            "milliseconds",
            "first token p50/p95/p99",
            "between tokens p50/p95/p99",
            "whole answer p50/p95/p99"));
    classes.forEach(report -> lines.add(times(report)));
    lines.add(times(all));
    lines.add("");
    lines.add(
        String.format(
            Locale.ROOT,
            "duration %.1f s, tokens %d, unsent %d, doubled %d, cut by orders %d, role changes %d",
            durationSeconds,
            all.tokens(),
            all.unsent(),
            doubled,
            cutByOrders,
            roleChanges));
    if (!all.errors().isEmpty()) {
      lines.add("errors " + all.errors());
    }
    problems.forEach(problem -> lines.add("problem: " + problem));
    return String.join(System.lineSeparator(), lines);
  }

  private static String counts(ClassReport report) {
    return String.format(
        Locale.ROOT,
        "%-24s %8d %8d %8d %7d %7d %6d %7d %8.4f",
        report.name(),
        report.requests(),
        report.complete(),
        report.inDeadline(),
        report.notRun(),
        report.unknown(),
        report.wrong(),
        report.givenUp(),
        report.goodput());
  }

  private static String times(ClassReport report) {
    return String.format(
        Locale.ROOT,
        "%-24s %27s %27s %27s",
        report.name(),
        three(report.firstToken()),
        three(report.betweenTokens()),
        three(report.total()));
  }

  private static String three(Percentiles times) {
    return String.format(
        Locale.ROOT, "%.1f/%.1f/%.1f", times.p50Millis(), times.p95Millis(), times.p99Millis());
  }
}
