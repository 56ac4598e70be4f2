package org.fallturn.node.operators;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.configuration.OperatorRecord;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.configuration.ConfigurationModule;
import org.fallturn.node.configuration.ZoneNodes;
import org.fallturn.node.http.HttpAnswers;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' door: {@code POST /operators/statement} with a key. Queries need any operator,
 * changes one with role OPERATOR. Called on the operators' server threads; nothing blocks them
 * longer than parsing takes.
 */
public final class OperatorsModule implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(OperatorsModule.class);
  private static final int MAX_PART_REQUEST_BYTES = 128 * 1024;

  private final ConfigurationModule configuration;
  private final OperatorAuthenticator authenticator;
  private final StatementParser parser;
  private final QueryTargets targets;
  private final LiveQueries queries;
  private final ChangeExecution changes;
  private final int maxBodyBytes;
  private final JsonCodec codec;
  private final HttpAnswers answers;

  /**
   * A door without a port; see {@link #addRoutes}.
   *
   * @param configuration what changes go to
   * @param settings its settings
   * @param tables what can be read
   * @param nodes the other nodes
   * @param digests the newest digest of each pool, which names its leader
   * @param machines the machine list, which names the pools that should have a leader
   */
  public OperatorsModule(
      ConfigurationModule configuration,
      Door settings,
      TableRegistry tables,
      ZoneNodes nodes,
      Supplier<? extends Iterable<PoolDigest>> digests,
      Supplier<MachineList> machines,
      JsonHttpClient client,
      JsonCodec codec) {
    this.configuration = configuration;
    this.authenticator = new OperatorAuthenticator(configuration, settings.bootstrapKeyHash());
    this.parser = new StatementParser(tables.schemas());
    String self = nodes.self().node().value();
    targets = new QueryTargets(nodes, digests, machines);
    this.queries = new LiveQueries(self, tables, parser, targets, client);
    this.changes = new ChangeExecution(configuration);
    this.maxBodyBytes = settings.maxBodyBytes();
    this.codec = codec;
    this.answers = new HttpAnswers(codec);
  }

  /** Adds the routes for operators and for peers; before the ports start. */
  public void addRoutes(HttpRouter operators, HttpRouter peers) {
    operators.route("POST", StatementRequest.PATH, this::handle);
    peers.message(
        TablePart.PATH, TablePartRequest.class, MAX_PART_REQUEST_BYTES, queries::answerPart);
  }

  /** Says how to reach the owners of quotas; before a table of theirs is registered. */
  public void setQuotaOwners(QuotaOwners owners) {
    targets.setQuotaOwners(owners);
  }

  private void handle(Request request, Response response, Callback callback) throws Exception {
    requireLoaded();
    OperatorRecord operator = authenticator.authenticate(request);
    execute(operator, read(request))
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                answers.json(response, 200, answer, callback);
              } else {
                fail(failure, response, callback);
              }
            });
  }

  private void requireLoaded() throws FallturnException {
    if (!configuration.isLoaded()) {
      throw new FallturnException(
          ErrorKind.STORE_UNAVAILABLE, "this node has not loaded the configuration yet");
    }
  }

  private StatementRequest read(Request request) throws FallturnException {
    byte[] body = HttpRouter.read(request, maxBodyBytes);
    try {
      StatementRequest read = codec.decode(body, StatementRequest.class);
      if (read.statement() == null) {
        throw SyntaxErrors.invalid("field statement is needed");
      }
      return read;
    } catch (MalformedMessageException e) {
      throw SyntaxErrors.invalid(e.getMessage());
    }
  }

  private CompletionStage<StatementAnswer> execute(
      OperatorRecord operator, StatementRequest request) throws FallturnException {
    Submission submission = parser.parse(request.statement());
    if (submission instanceof Submission.Query query) {
      return query.explain()
          ? CompletableFuture.completedFuture(queries.explain(query, configuration.version()))
          : queries.answer(query, configuration.version());
    }
    Submission.Change change = (Submission.Change) submission;
    if (change.explain()) {
      return CompletableFuture.completedFuture(changes.explain(change));
    }
    OperatorAuthenticator.requireMayChange(operator);
    return changes.execute(change, request, operator);
  }

  private void fail(Throwable failure, Response response, Callback callback) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof FallturnException known) {
      answers.error(response, known, "", callback);
      return;
    }
    LOG.error("operators: A statement failed.", cause);
    answers.error(
        response, new FallturnException(ErrorKind.INTERNAL, "internal error"), "", callback);
  }

  @Override
  public void close() {
    parser.close();
  }

  /**
   * Settings of the door.
   *
   * @param bootstrapKeyHash hash of the key that counts until an operator is configured, or empty
   * @param maxBodyBytes largest body of a request
   */
  public record Door(String bootstrapKeyHash, int maxBodyBytes) {}
}
