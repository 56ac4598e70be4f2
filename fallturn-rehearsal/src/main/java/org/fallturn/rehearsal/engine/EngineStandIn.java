package org.fallturn.rehearsal.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PrefixBlocks;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.port.engine.CancelRequest;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineRefusal;
import org.fallturn.core.port.engine.EngineRefusal.Reason;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.node.http.HttpAnswers;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.fallturn.rehearsal.DeterministicTokens;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A model engine behind its published protocol. Any thread may call the public methods. After a
 * crash in this process it listens again on the same port, empty, under a new incarnation.
 */
public final class EngineStandIn implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(EngineStandIn.class);
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int MAX_THREADS = 16;
  private static final int MAX_CONNECTIONS = 256;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final int CRASH_EXIT_STATUS = 137;
  private static final String KV = "/v1/kv/";

  private final EngineSettings settings;
  private final JsonCodec codec = new JsonCodec();
  private final HttpAnswers answers = new HttpAnswers(codec);
  private final JournalKeeper journal;
  private final HttpClient http = new HttpClient();
  private EngineLoop loop;
  private HttpListener listener;
  private NetworkAddress address;
  private boolean closed;

  /** An engine that does not listen yet. */
  public EngineStandIn(EngineSettings settings) {
    this.settings = settings;
    this.journal = new JournalKeeper(settings.engine());
  }

  /** Binds and starts. */
  public synchronized EngineStandIn start() throws Exception {
    http.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    http.start();
    loop = new EngineLoop(settings, new JsonHttpClient(http, codec), journal, this::crash);
    listen(settings.listen());
    return this;
  }

  private void listen(NetworkAddress where) throws Exception {
    listener = new HttpListener("http-" + settings.engine(), where, MAX_THREADS, router());
    address = listener.address();
  }

  /** Where it listens, also while it is down after a crash. */
  public synchronized NetworkAddress address() {
    return address;
  }

  /** What it says of itself now. */
  public EngineState state() {
    return loop.call(loop::state).join();
  }

  /** What it did so far. */
  public EngineJournal journal() {
    return journal.journal();
  }

  /** Plans a crash. */
  public void crash(CrashPlan plan) {
    loop.execute(() -> loop.planCrash(plan));
  }

  /** Changes how it behaves. */
  public void behave(EngineBehaviour behaviour) {
    loop.call(
            () -> {
              loop.behave(behaviour);
              return behaviour;
            })
        .join();
  }

  @Override
  public synchronized void close() throws Exception {
    closed = true;
    loop.close();
    closeListener();
    http.stop();
  }

  private void closeListener() throws Exception {
    if (listener != null) {
      listener.close();
      listener = null;
    }
  }

  private void crash() {
    if (settings.haltOnCrash()) {
      Runtime.getRuntime().halt(CRASH_EXIT_STATUS);
    }
    long downMillis = loop.crashPlan().downMillis();
    LOG.info("engine: {} crashes on command.", settings.engine());
    loop.planCrash(CrashPlan.NEVER);
    Thread down = new Thread(() -> goDown(downMillis), "crash-" + settings.engine());
    down.setDaemon(true);
    down.start();
  }

  private void goDown(long downMillis) {
    try {
      synchronized (this) {
        closeListener();
      }
      loop.call(
              () -> {
                loop.restart();
                return true;
              })
          .join();
      if (downMillis > 0) {
        Thread.sleep(downMillis);
        listenAgain();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      LOG.error("engine: {} did not come back after a crash.", settings.engine(), e);
    }
  }

  private synchronized void listenAgain() throws Exception {
    if (!closed) {
      listen(address);
    }
  }

  private HttpRouter router() {
    HttpRouter router = new HttpRouter(codec);
    router.route("POST", "/v1/prefill", this::prefill);
    router.route("POST", "/v1/generate", this::generate);
    router.message("/v1/cancel", CancelRequest.class, MAX_BODY_BYTES, this::cancel);
    router.message(
        "/v1/orders",
        EngineOrder.class,
        MAX_BODY_BYTES,
        order -> loop.call(() -> loop.order(order)));
    router.document("/v1/state", request -> loop.call(loop::state));
    router.document("/v1/load", request -> loop.call(loop::load));
    router.document("/v1/cache-events", this::cacheEvents);
    router.document(KV, this::export);
    router.document("/control/journal", request -> CompletableFuture.completedFuture(journal()));
    router.message("/control/crash", CrashPlan.class, MAX_BODY_BYTES, this::controlCrash);
    router.message(
        "/control/behaviour",
        EngineBehaviour.class,
        MAX_BODY_BYTES,
        behaviour ->
            loop.call(
                () -> {
                  loop.behave(behaviour);
                  return behaviour;
                }));
    return router;
  }

  private CompletableFuture<CrashPlan> controlCrash(CrashPlan plan) {
    crash(plan);
    return CompletableFuture.completedFuture(plan);
  }

  private CompletableFuture<CancelRequest> cancel(CancelRequest cancel) {
    return loop.call(
        () -> {
          loop.cancel(cancel.requestId());
          return cancel;
        });
  }

  private CompletableFuture<?> cacheEvents(Request request) throws FallturnException {
    String after = Request.extractQueryParameters(request).getValue("after");
    try {
      long number = after == null ? 0 : Long.parseLong(after);
      return loop.call(() -> loop.cacheEventsAfter(number));
    } catch (NumberFormatException e) {
      throw new FallturnException(ErrorKind.INVALID_REQUEST, "after must be a number", e);
    }
  }

  private CompletableFuture<KvExport> export(Request request) {
    String kvHandle = Request.getPathInContext(request).substring(KV.length());
    return loop.call(() -> loop.export(kvHandle)).thenCompose(EngineStandIn::present);
  }

  private static CompletableFuture<KvExport> present(KvExport export) {
    if (export == null) {
      return CompletableFuture.failedFuture(
          new FallturnException(ErrorKind.NOT_FOUND, "no such KV handle"));
    }
    return CompletableFuture.completedFuture(export);
  }

  private void prefill(Request http, Response response, Callback callback)
      throws FallturnException {
    byte[] body = HttpRouter.read(http, MAX_BODY_BYTES);
    try {
      PrefillRequest request = codec.decode(body, PrefillRequest.class);
      List<String> tokens = PrefixBlocks.tokens(request.prompt());
      CompletableFuture<PrefillAnswer> answer = new CompletableFuture<>();
      answer.whenComplete(
          (done, failure) -> {
            if (failure != null) {
              refuse(failure, response, callback);
            } else {
              answers.json(response, OK, done, callback);
            }
          });
      loop.execute(() -> loop.prefill(request, tokens, answer));
    } catch (MalformedMessageException | NullPointerException e) {
      refuse(malformed(e), response, callback);
    }
  }

  private void generate(Request http, Response response, Callback callback)
      throws FallturnException {
    byte[] body = HttpRouter.read(http, MAX_BODY_BYTES);
    try {
      GenerateRequest request = codec.decode(body, GenerateRequest.class);
      if (request.maxTokens() < 1 || request.startOffset() < 0) {
        throw malformed(new IllegalArgumentException("maxTokens or startOffset out of range"));
      }
      List<String> promptTokens = PrefixBlocks.tokens(request.prompt());
      TokenStream stream =
          new TokenStream(
              http,
              response,
              callback,
              codec,
              request.requestId(),
              new DeterministicTokens(request.prompt()),
              request.startOffset(),
              settings.tokensPerChunk());
      loop.execute(() -> generate(request, promptTokens, stream, response, callback));
    } catch (EngineRefusedException | MalformedMessageException | NullPointerException e) {
      refuse(malformed(e), response, callback);
    }
  }

  private void generate(
      GenerateRequest request,
      List<String> promptTokens,
      TokenStream stream,
      Response response,
      Callback callback) {
    try {
      loop.generate(request, promptTokens, stream);
    } catch (EngineRefusedException e) {
      refuse(e, response, callback);
    }
  }

  private static EngineRefusedException malformed(Exception cause) {
    return new EngineRefusedException(Reason.MALFORMED, String.valueOf(cause.getMessage()));
  }

  private void refuse(Throwable failure, Response response, Callback callback) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (!(cause instanceof EngineRefusedException refused)) {
      callback.failed(cause);
      return;
    }
    EngineRefusal refusal = refused.refusal();
    answers.json(response, status(refusal.reason()), refusal, callback);
  }

  private static int status(Reason reason) {
    return switch (reason) {
      case WRONG_ROLE, WRONG_MODEL, MALFORMED -> CONFLICT;
      case NOT_SERVING, LEAVING, FULL -> UNAVAILABLE;
    };
  }
}
