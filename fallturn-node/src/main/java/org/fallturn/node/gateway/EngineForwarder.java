package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.fallturn.core.disconnect.DisconnectCause;
import org.fallturn.core.disconnect.OrphanedRun;
import org.fallturn.core.dispatch.EngineNotices;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.forwarding.ForwardingLeases;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.http.ProgressGuard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jetty handler that sends requests of other nodes to engines which those nodes do not reach, and
 * relays the answers as they come. The other node decides and accounts for everything: it chose the
 * engine, and repeats, limits, usage and the caller are its own. This node only passes bytes on,
 * over one hop, and says truthfully whether the engine can have got the request.
 *
 * <p>A request ends with the connection between the nodes, with a call to {@link #CANCEL_PREFIX}
 * and its key, with its lease, and before this process ends in a planned stop. Invariants: once its
 * node is known to have given it up, or its time has passed, it does not begin to be sent; a
 * cancellation is confirmed once this node has closed its connection to the engine and that has
 * left the request. Thread-safe.
 */
final class EngineForwarder extends Handler.Abstract.NonBlocking {

  private static final Logger LOG = LoggerFactory.getLogger(EngineForwarder.class);

  /** Path (method DELETE), followed by the key of a request, that ends it. */
  static final String CANCEL_PREFIX = "/forwarded/";

  /** Shorter than the other node waits for an answer. */
  private static final Duration CANCELLATION_WAIT = Duration.ofMillis(250);

  /** Bound on requests of other nodes, so that the callers of this one keep their share of it. */
  private static final int MAX_REQUESTS = 256;

  private static final Set<HttpHeader> CONNECTION_HEADERS =
      EnumSet.of(HttpHeader.CONNECTION, HttpHeader.KEEP_ALIVE, HttpHeader.TRANSFER_ENCODING);

  private final GatewayState gateway;
  private final EngineClient engines;
  private final Function<String, Optional<ServingEngine>> directory;
  private final EngineNotices notices;
  private final PathActions paths;
  private final ForwardingLeaseDuty leases;
  private final ForwardingLog log;
  private final AtomicInteger present = new AtomicInteger();
  private final Map<String, ForwardedRequest> byKey = new ConcurrentHashMap<>();
  private final CancelledKeys cancelledKeys = new CancelledKeys();

  /**
   * Creates a handler.
   *
   * @param directory finds a listed engine by its id
   * @param notices knows which engines leave
   * @param paths knows the engines that this node does not reach itself
   * @param leases not started
   */
  EngineForwarder(
      GatewayState gateway,
      EngineClient engines,
      Function<String, Optional<ServingEngine>> directory,
      EngineNotices notices,
      PathActions paths,
      ForwardingLeaseDuty leases,
      DecisionLog log) {
    this.gateway = gateway;
    this.engines = engines;
    this.directory = directory;
    this.notices = notices;
    this.paths = paths;
    this.leases = leases;
    this.log = new ForwardingLog(log);
  }

  /** The leases of the requests; whoever opens the port starts and closes them. */
  ForwardingLeaseDuty leases() {
    return leases;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    String engineId = request.getHeaders().get(ForwardingHeaders.ENGINE);
    if (engineId == null) {
      boolean cancel = path.startsWith(CANCEL_PREFIX) && HttpMethod.DELETE.is(request.getMethod());
      if (cancel) {
        answerCancellation(cancel(path.substring(CANCEL_PREFIX.length())), response, callback);
      }
      return cancel;
    }
    Optional<ServingEngine> engine = directory.apply(engineId).filter(this::mayForwardTo);
    if (engine.isEmpty()) {
      fail(response, callback, ForwardingResult.NOT_SENT);
    } else {
      forward(
          new ForwardedRequest(engine.get(), new HandlerArguments(request, response, callback)));
    }
    return true;
  }

  private boolean mayForwardTo(ServingEngine engine) {
    return !gateway.stopping()
        && !engine.leaving()
        && !notices.isLeaving(engine.id())
        && !notices.rests(engine.id(), System.nanoTime())
        && !paths.unreached().contains(engine.id())
        && present.get() < MAX_REQUESTS;
  }

  /** Answers once the request is over, or that it still runs. */
  private void answerCancellation(
      CompletableFuture<Void> over, Response response, Callback callback) {
    AtomicBoolean answered = new AtomicBoolean();
    Consumer<Integer> answer =
        status -> {
          if (answered.compareAndSet(false, true)) {
            response.setStatus(status);
            response.write(true, BufferUtil.EMPTY_BUFFER, callback);
          }
        };
    over.thenRun(() -> answer.accept(HttpStatus.OK_200));
    if (!over.isDone()) {
      engines.runLater(() -> answer.accept(HttpStatus.ACCEPTED_202), CANCELLATION_WAIT);
    }
  }

  /** Ends a request; the result is complete once no engine works on it for this node. */
  private CompletableFuture<Void> cancel(String key) {
    cancelledKeys.add(key);
    ForwardedRequest forwarded = byKey.get(key);
    if (forwarded == null) {
      return CompletableFuture.completedFuture(null);
    }
    forwarded.giveUp(ForwardingEnd.CANCELLED);
    return forwarded.over;
  }

  /**
   * Ends the requests whose nodes wait to send them on, or all that are left, since this process
   * ends: a node that finds it gone would send a request on while its engine works on it.
   */
  void endForStop(boolean all) {
    byKey.values().stream()
        .filter(forwarded -> all || owner(forwarded.from.request()).isPresent())
        .forEach(forwarded -> forwarded.giveUp(ForwardingEnd.NODE_STOPS));
  }

  private void forward(ForwardedRequest forwarded) {
    try {
      Request.addCompletionListener(forwarded.from.request(), failure -> forwarded.release());
      if (forwarded.tryAdmit()) {
        begin(forwarded);
      } else {
        fail(forwarded.from.response(), forwarded.from.callback(), ForwardingResult.NOT_SENT);
      }
    } catch (RuntimeException | Error failure) {
      forwarded.onFailure(failure);
    }
  }

  private void begin(ForwardedRequest forwarded) {
    HandlerArguments from = forwarded.from;
    byKey.put(forwarded.key, forwarded);
    if (cancelledKeys.remove(forwarded.key)) {
      forwarded.giveUp(ForwardingEnd.CANCELLED);
    }
    owner(from.request())
        .ifPresent(
            owner ->
                leases.begin(
                    forwarded.key, owner, () -> forwarded.giveUp(ForwardingEnd.NOT_CONFIRMED)));
    Content.Source.asByteBuffer(
        from.request(),
        Promise.from(
            forwarded::sendOrFail,
            failure -> fail(from.response(), from.callback(), ForwardingResult.NOT_SENT)));
  }

  /** The node that is asked whether it still waits for a request; empty where none is to be. */
  private static Optional<NetworkAddress> owner(Request request) {
    String address = request.getHeaders().get(ForwardingHeaders.OWNER);
    try {
      return Optional.ofNullable(address).map(NetworkAddress::parse);
    } catch (IllegalArgumentException e) {
      LOG.warn("peers: A request to be forwarded names no address to ask at: {}.", address);
      return Optional.empty();
    }
  }

  private static void fail(Response response, Callback callback, ForwardingResult result) {
    response.setStatus(HttpStatus.BAD_GATEWAY_502);
    response.getHeaders().put(ForwardingHeaders.RESULT, result.name());
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
  }

  private static HttpFields withoutConnectionHeaders(HttpFields headers) {
    HttpFields.Mutable kept = HttpFields.build();
    for (HttpField field : headers) {
      if (!CONNECTION_HEADERS.contains(field.getHeader())) {
        kept.add(field);
      }
    }
    return kept.remove(ForwardingHeaders.ENGINE)
        .remove(ForwardingHeaders.KEY)
        .remove(ForwardingHeaders.OWNER)
        .remove(ForwardingHeaders.RESULT)
        .remove(ForwardingHeaders.END_UNMARKED);
  }

  /**
   * One request on its way. Jetty calls the listeners on client threads, one at a time; any thread
   * may abort.
   */
  private final class ForwardedRequest
      implements org.eclipse.jetty.client.Response.HeadersListener,
          org.eclipse.jetty.client.Response.AsyncContentListener,
          org.eclipse.jetty.client.Response.CompleteListener {

    private final ServingEngine engine;
    private final HandlerArguments from;
    private final String key;
    private final int length;
    private final long arrivedNanos = System.nanoTime();
    private volatile org.eclipse.jetty.client.Request toEngine;
    private final CompletableFuture<Void> over = new CompletableFuture<>();
    private volatile ForwardingEnd givenUp = ForwardingEnd.NONE;
    private final SendState sendState = new SendState();
    private volatile ProgressGuard progress = new ProgressGuard();
    private volatile String requestId = "";
    private final AtomicBoolean completed = new AtomicBoolean();
    private volatile boolean admitted;
    private boolean headRelayed;
    private boolean answerBegun;
    private boolean needsEndCheck;

    ForwardedRequest(ServingEngine engine, HandlerArguments from) {
      this.engine = engine;
      this.from = from;
      this.key =
          Objects.requireNonNullElse(from.request().getHeaders().get(ForwardingHeaders.KEY), "");
      this.length = (int) Math.min(Math.max(0, from.request().getLength()), Integer.MAX_VALUE);
    }

    /** Makes room for it and counts it; false if there is no room. */
    boolean tryAdmit() {
      admitted = gateway.bodies().tryReserve(length, length);
      if (admitted) {
        present.incrementAndGet();
        gateway.beginRequest();
      }
      return admitted;
    }

    /** Gives back what it holds here, once it has been answered or its connection has ended. */
    void release() {
      if (!admitted) {
        return;
      }
      gateway.bodies().release(length);
      present.decrementAndGet();
      gateway.endRequest();
      byKey.remove(key);
      leases.end(key);
      over.complete(null);
    }

    void sendOrFail(ByteBuffer body) {
      try {
        send(BufferUtil.toArray(body));
      } catch (RuntimeException | Error failure) {
        onFailure(failure);
      }
    }

    /** Ends the request, since this node failed on it; never sends it from then on. */
    void onFailure(Throwable failure) {
      try {
        giveUp(ForwardingEnd.NODE_FAILED);
        complete(toEngine == null ? ForwardingResult.NOT_SENT : ForwardingResult.LOST);
        LOG.warn("peers: A request of another node was not forwarded.", failure);
      } catch (RuntimeException | Error second) {
        // Ends the connection, which says nothing of the request.
        from.callback().failed(second);
      }
    }

    private void send(byte[] body) {
      watched().ifPresent(endPoint -> endPoint.watch(() -> giveUp(ForwardingEnd.NODE_CLOSED)));
      requestId = engines.protocol().readHead(0, from.request().getHeaders()).requestId();
      org.eclipse.jetty.client.Request request =
          engines.newForwarded(
              engine,
              requestId,
              from.request().getMethod(),
              from.request().getHttpURI().getPathQuery(),
              withoutConnectionHeaders(from.request().getHeaders()),
              body);
      request.onRequestBegin(SendState.orAbort(this::checkBeforeSend));
      request.onRequestBegin(begun -> progress = EngineClient.progressOf(begun));
      request.onRequestBegin(sendState);
      log.forwarding(requestId, engine.id());
      toEngine = request;
      request.send(this);
    }

    private Optional<WatchedEndPoint> watched() {
      EndPoint endPoint = from.request().getConnectionMetaData().getConnection().getEndPoint();
      return endPoint instanceof WatchedEndPoint watched ? Optional.of(watched) : Optional.empty();
    }

    /** Ends the request, since its node needs no answer any more. */
    void giveUp(ForwardingEnd why) {
      givenUp = why;
      org.eclipse.jetty.client.Request request = toEngine;
      if (request == null) {
        over.complete(null);
      } else {
        request.abort(new CancellationException(why.name()));
      }
    }

    /** A process that stood still has yet to be told that the other node closed the connection. */
    private void checkBeforeSend(org.eclipse.jetty.client.Request request) {
      watched().ifPresent(WatchedEndPoint::checkDisconnect);
      Optional<Duration> left = timeLeft();
      engines.withholdOrSetTimeLeft(request, end(left), left);
    }

    private Optional<RequestEnd> end(Optional<Duration> left) {
      if (givenUp != ForwardingEnd.NONE) {
        return Optional.of(RequestEnd.CALLER_GONE);
      }
      return left.filter(time -> time.isNegative() || time.isZero())
          .map(time -> RequestEnd.TIME_OVER);
    }

    private Optional<Duration> timeLeft() {
      long now = System.nanoTime();
      Duration spent = Duration.ofNanos(now - arrivedNanos);
      Duration ofProcess = Duration.ofNanos(gateway.remainingNanos(now));
      return engines
          .protocol()
          .timeLeft(from.request().getHeaders())
          .map(at -> at.minus(spent))
          .map(left -> left.compareTo(ofProcess) < 0 ? left : ofProcess);
    }

    @Override
    public void onHeaders(org.eclipse.jetty.client.Response answer) {
      // The other node would find out whose it is when the connection to the engine is free again.
      engines
          .ownership()
          .readOwn(answer, answer.getHeaders(), engine, requestId)
          .ifPresent(head -> relayHead(answer, head));
    }

    private void relayHead(org.eclipse.jetty.client.Response answer, EngineAnswerHead head) {
      from.response().setStatus(answer.getStatus());
      from.response()
          .getHeaders()
          .add(withoutConnectionHeaders(answer.getHeaders()))
          .put(ForwardingHeaders.RESULT, ForwardingResult.ANSWERED.name());
      String connection = answer.getHeaders().get(HttpHeader.CONNECTION);
      if (connection != null) {
        // An engine that leaves says so here.
        from.response().getHeaders().put(HttpHeader.CONNECTION, connection);
      }
      if (!answer.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
          && !HttpStatus.hasNoBody(answer.getStatus())) {
        // Without the final chunk, an answer that broke off would look complete to the other node.
        from.response()
            .getHeaders()
            .put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
      }
      boolean endIsMarked = EngineAttempt.endIsMarked(answer);
      needsEndCheck = !endIsMarked && !head.saysNotRun();
      if (!endIsMarked) {
        from.response()
            .getHeaders()
            .put(ForwardingHeaders.END_UNMARKED, ForwardingHeaders.CONFIRMED_BEFORE_END);
      }
      headRelayed = true;
    }

    @Override
    public void onContent(
        org.eclipse.jetty.client.Response answer, Content.Chunk chunk, Runnable demander) {
      if (!headRelayed) {
        answer.abort(new IllegalStateException("the head of the answer was not relayed"));
        demander.run();
        return;
      }
      answerBegun = true;
      progress.onBody(chunk.remaining());
      from.response()
          .write(
              false,
              ByteBuffer.wrap(BufferUtil.toArray(chunk.getByteBuffer())),
              Callback.from(demander::run, answer::abort));
    }

    @Override
    public void onComplete(Result result) {
      ForwardingResult outcome = outcome(result);
      if (outcome == ForwardingResult.LOST && mayBeOrphaned()) {
        engines.orphanedRuns().whenOver(engine, orphanedRun(), end -> onEngineLeft(outcome));
      } else {
        onEngineLeft(outcome);
      }
    }

    /** Nodes that wait to repeat a request give their address. */
    private boolean mayBeOrphaned() {
      return engine.stage() != EngineStage.NONE && owner(from.request()).isPresent();
    }

    private OrphanedRun orphanedRun() {
      DisconnectCause lost = answerBegun ? DisconnectCause.BROKEN_MIDWAY : DisconnectCause.LOST;
      long now = System.nanoTime();
      return new OrphanedRun(
          engine.id(),
          requestId,
          sendState.sentNanos(),
          now,
          now + timeLeft().orElse(ForwardingLeases.TERM).toNanos(),
          givenUp == ForwardingEnd.NONE ? lost : DisconnectCause.GIVEN_UP);
    }

    /** The engine no longer works on the request, which is what a cancellation waits for. */
    private void onEngineLeft(ForwardingResult outcome) {
      over.complete(null);
      if (outcome == ForwardingResult.ANSWERED && needsEndCheck) {
        engines.answerEndCheck().check(engine, patience(), end -> complete(outcomeOf(end)));
      } else {
        complete(outcome);
      }
    }

    private Duration patience() {
      return owner(from.request()).isPresent()
          ? AnswerEndCheck.PATIENCE_IF_REPEATABLE
          : AnswerEndCheck.PATIENCE;
    }

    private static ForwardingResult outcomeOf(AnswerEnd end) {
      return end == AnswerEnd.CONFIRMED ? ForwardingResult.ANSWERED : ForwardingResult.LOST;
    }

    private void complete(ForwardingResult outcome) {
      if (!completed.compareAndSet(false, true)) {
        return;
      }
      watched().ifPresent(WatchedEndPoint::unwatch);
      log.forwarded(requestId, engine.id(), sendState.connection(), outcome, givenUp);
      if (outcome == ForwardingResult.ANSWERED) {
        from.response().write(true, BufferUtil.EMPTY_BUFFER, from.callback());
      } else if (answerBegun) {
        // Ends the connection, so that an answer that broke off does not look complete.
        from.callback().failed(new EofException("the answer broke off"));
      } else {
        from.response().reset();
        fail(from.response(), from.callback(), outcome);
      }
    }

    /** The HTTP client goes on with an answer although the listener of its head has failed. */
    private ForwardingResult outcome(Result result) {
      if (result.getResponseFailure() == null && headRelayed) {
        return ForwardingResult.ANSWERED;
      }
      return sendState.maybeSent() ? ForwardingResult.LOST : ForwardingResult.NOT_SENT;
    }
  }
}
