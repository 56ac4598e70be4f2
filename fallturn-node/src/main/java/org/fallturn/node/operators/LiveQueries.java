package org.fallturn.node.operators;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.Output;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.Selection;
import org.fallturn.core.query.SelectionExecutor;
import org.fallturn.node.http.JsonHttpClient;

/**
 * Answers queries over live tables. Each part of the fleet filters its rows before it sends them,
 * and sends a bounded number; a part that does not answer in time is named in the answer.
 * Thread-safe; nothing blocks.
 */
final class LiveQueries {

  private static final int MAX_PART_ROWS = 5000;
  private static final int CONTACTS_TRIED = 2;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final Duration PART_TIMEOUT = Duration.ofMillis(1500);

  private final String selfNode;
  private final TableRegistry tables;
  private final StatementParser parser;
  private final QueryTargets targets;
  private final JsonHttpClient client;

  LiveQueries(
      String selfNode,
      TableRegistry tables,
      StatementParser parser,
      QueryTargets targets,
      JsonHttpClient client) {
    this.selfNode = selfNode;
    this.tables = tables;
    this.parser = parser;
    this.targets = targets;
    this.client = client;
  }

  /** Answers a peer with this node's rows. */
  CompletionStage<TablePart> answerPart(TablePartRequest request) throws FallturnException {
    String where = request.where().isEmpty() ? "" : " WHERE " + request.where();
    Submission submission = parser.parse("SELECT * FROM " + request.table() + where);
    if (!(submission instanceof Submission.Query query)) {
      throw SyntaxErrors.invalid("not a query of one table: " + request.table());
    }
    return localPart(query.selection());
  }

  /** Answers an operator. */
  CompletionStage<StatementAnswer> answer(Submission.Query query, long version) {
    LiveTable table = tables.find(query.selection().table()).orElseThrow();
    List<CompletableFuture<Gathered>> parts = new ArrayList<>();
    for (PartTarget target : targets.of(table, query.selection())) {
      parts.add(gather(target, query));
    }
    return CompletableFuture.allOf(parts.toArray(CompletableFuture[]::new))
        .thenApply(
            done -> combine(query, parts.stream().map(CompletableFuture::join).toList(), version));
  }

  /** Says which parts of the fleet would be asked. */
  StatementAnswer explain(Submission.Query query, long version) {
    LiveTable table = tables.find(query.selection().table()).orElseThrow();
    List<Row> rows = new ArrayList<>();
    for (PartTarget target : targets.of(table, query.selection())) {
      String asked = target.local() ? selfNode : target.contacts().toString();
      rows.add(Row.of(table.schema().name(), table.scope(), target.name(), asked));
    }
    return new StatementAnswer(
        StatementAnswer.Kind.EXPLAINED,
        version,
        List.of("table", "scope", "part", "asked"),
        rows,
        false,
        List.of(),
        List.of(),
        java.util.Optional.empty());
  }

  private CompletionStage<TablePart> localPart(Selection selection) {
    return tables
        .find(selection.table())
        .orElseThrow()
        .readAsync()
        .thenApply(live -> bounded(selection, live));
  }

  private TablePart bounded(Selection selection, LiveRows live) {
    List<Row> rows = SelectionExecutor.filter(selection, live.rows());
    boolean truncated = rows.size() > MAX_PART_ROWS;
    List<Row> sent = truncated ? rows.subList(0, MAX_PART_ROWS) : rows;
    return new TablePart(selfNode, live.ageMillis(), sent, truncated);
  }

  private CompletableFuture<Gathered> gather(PartTarget target, Submission.Query query) {
    if (target.local()) {
      return localPart(query.selection())
          .thenApply(part -> new Gathered(target, part, 0))
          .toCompletableFuture();
    }
    return ask(target, query, 0, System.nanoTime());
  }

  private CompletableFuture<Gathered> ask(
      PartTarget target, Submission.Query query, int index, long startNanos) {
    if (index >= Math.min(CONTACTS_TRIED, target.contacts().size())) {
      return CompletableFuture.completedFuture(new Gathered(target, null, 0));
    }
    NetworkAddress contact = target.contacts().get(index);
    TablePartRequest request = new TablePartRequest(query.selection().table(), query.where());
    return client
        .post(contact, TablePart.PATH, request, TablePart.class, PART_TIMEOUT)
        .handle(
            (part, failure) ->
                failure == null
                    ? CompletableFuture.completedFuture(
                        new Gathered(target, part, millisSince(startNanos)))
                    : ask(target, query, index + 1, startNanos))
        .thenCompose(next -> next);
  }

  private static long millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }

  private static StatementAnswer combine(
      Submission.Query query, List<Gathered> gathered, long version) {
    List<Row> rows = new ArrayList<>();
    List<StatementAnswer.Part> parts = new ArrayList<>();
    boolean truncated = false;
    for (Gathered part : gathered) {
      parts.add(part.describe());
      if (part.part() != null) {
        rows.addAll(part.part().rows());
        truncated |= part.part().truncated();
      }
    }
    List<Row> result = SelectionExecutor.execute(query.selection(), rows);
    boolean full = result.size() == SelectTranslator.MAX_ROWS && rows.size() > result.size();
    return new StatementAnswer(
        StatementAnswer.Kind.ROWS,
        version,
        query.selection().outputs().stream().map(Output::name).toList(),
        result,
        truncated || full,
        parts,
        List.of(),
        java.util.Optional.empty());
  }

  /** What came from one part of the fleet; a null part means no answer. */
  private record Gathered(PartTarget target, TablePart part, long callMillis) {

    StatementAnswer.Part describe() {
      if (part == null) {
        String reason = target.contacts().isEmpty() ? "no node known" : "no answer";
        return new StatementAnswer.Part(target.name(), 0, 0, reason);
      }
      return new StatementAnswer.Part(
          target.name() + " by " + part.node(),
          part.ageMillis() + callMillis,
          part.rows().size(),
          "");
    }
  }
}
