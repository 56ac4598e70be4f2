package org.fallturn.node.operators;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.configuration.ChangeValidator;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.OperatorRecord;
import org.fallturn.core.configuration.PlannedChange;
import org.fallturn.core.configuration.ProposedChange;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.query.ChangeDescription;
import org.fallturn.core.query.Row;
import org.fallturn.node.configuration.CommitResult;
import org.fallturn.node.configuration.ConfigurationModule;
import org.fallturn.node.configuration.InForceReport;

/**
 * Explains and carries out changes. A change is answered once it is accepted and either in force
 * everywhere or the wait is over; then the laggards are named. Thread-safe; nothing blocks.
 */
final class ChangeExecution {

  private static final long DEFAULT_WAIT_MILLIS = 3000;
  private static final long MAX_WAIT_MILLIS = 30_000;
  private static final long POLL_MILLIS = 50;
  private static final int MAX_LAGGARDS = 50;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ConfigurationModule configuration;

  ChangeExecution(ConfigurationModule configuration) {
    this.configuration = configuration;
  }

  StatementAnswer explain(Submission.Change change) throws FallturnException {
    ConfigurationImage image = configuration.get();
    OptionalLong expected = change.expectedVersion();
    if (expected.isPresent() && expected.getAsLong() != image.version()) {
      throw new FallturnException(
          ErrorKind.CONFLICT, "the configuration is at version " + image.version());
    }
    PlannedChange plan = change.program().plan(image);
    ChangeValidator.validate(
        image,
        new ConfigurationDelta(
            image.version() + 1, "", "", Instant.EPOCH, "", plan.puts(), plan.removals()));
    return answer(
        StatementAnswer.Kind.EXPLAINED,
        image.version(),
        ChangeDescription.rows(image, plan),
        List.of(),
        Optional.empty());
  }

  CompletionStage<StatementAnswer> execute(
      Submission.Change change, StatementRequest request, OperatorRecord operator) {
    Planned planned = new Planned(change);
    OptionalLong expected =
        change.expectedVersion().isPresent() ? change.expectedVersion() : request.expectedVersion();
    ProposedChange proposal =
        new ProposedChange(
            UUID.randomUUID().toString(),
            operator.operator(),
            request.statement().strip(),
            expected,
            planned::plan);
    long waitMillis =
        Math.min(MAX_WAIT_MILLIS, Math.max(0, request.waitMillis().orElse(DEFAULT_WAIT_MILLIS)));
    return configuration
        .propose(proposal)
        .thenCompose(result -> afterCommit(change, planned, result, waitMillis));
  }

  private CompletionStage<StatementAnswer> afterCommit(
      Submission.Change change, Planned planned, CommitResult result, long waitMillis) {
    if (result.delta().isEmpty()) {
      return CompletableFuture.completedFuture(
          answer(
              StatementAnswer.Kind.UNCHANGED,
              result.version(),
              List.of(),
              List.of(),
              Optional.empty()));
    }
    long deadline = System.nanoTime() + waitMillis * NANOS_PER_MILLI;
    return waitInForce(result.version(), deadline)
        .thenApply(
            report ->
                answer(
                    StatementAnswer.Kind.ACCEPTED,
                    result.version(),
                    planned.rows(),
                    change.generatedKeys(),
                    Optional.of(inForce(report))));
  }

  private CompletionStage<InForceReport> waitInForce(long version, long deadlineNanos) {
    return configuration
        .inForce(version)
        .thenCompose(
            report -> {
              if (report.isComplete() || System.nanoTime() - deadlineNanos >= 0) {
                return CompletableFuture.completedFuture(report);
              }
              Executor later =
                  CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);
              return CompletableFuture.runAsync(() -> {}, later)
                  .thenCompose(done -> waitInForce(version, deadlineNanos));
            });
  }

  private static StatementAnswer.InForce inForce(InForceReport report) {
    return new StatementAnswer.InForce(
        report.inForce(),
        report.nodes(),
        report.laggards().stream().limit(MAX_LAGGARDS).toList(),
        report.missingZones().stream().map(ZoneName::value).toList());
  }

  private static StatementAnswer answer(
      StatementAnswer.Kind kind,
      long version,
      List<Row> rows,
      List<GeneratedKey> keys,
      Optional<StatementAnswer.InForce> inForce) {
    return new StatementAnswer(
        kind, version, ChangeDescription.COLUMNS, rows, false, List.of(), keys, inForce);
  }

  /** Plans a change and remembers what the last plan would do. */
  private static final class Planned {
    private final Submission.Change change;
    private volatile List<Row> rows = List.of();

    Planned(Submission.Change change) {
      this.change = change;
    }

    PlannedChange plan(ConfigurationImage image) throws FallturnException {
      PlannedChange plan = change.program().plan(image);
      rows = ChangeDescription.rows(image, plan);
      return plan;
    }

    List<Row> rows() {
      return rows;
    }
  }
}
