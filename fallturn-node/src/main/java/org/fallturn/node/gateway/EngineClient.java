package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.fallturn.core.dispatch.ConnectionBound;
import org.fallturn.core.dispatch.EngineNotices;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.dispatch.StuckReason;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.forwarding.ForwardedRequests;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.http.ProgressGuard;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP client for engines, with pooled connections. It leaves requests and answers as they are: it
 * adds no headers, decodes no content and follows no redirects. Thread-safe.
 */
final class EngineClient implements CacheSurvey.CacheLister, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(EngineClient.class);

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);
  private static final Duration BUSY_CONNECTION = Duration.ofSeconds(60);

  /** Connections to one node that forwards: it may stand for all engines. */
  private static final int FORWARDER_CONNECTIONS = 128;

  private static final Duration LIST_TIMEOUT = Duration.ofMillis(1_500);

  /** An engine reports without waiting for a slot, so one that takes longer is stuck. */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(500);

  /** Requests with this tag share no connections with the others. */
  private static final String OWN_CONNECTION = "own-connection";

  /**
   * In place of the id of a caller's request, for a call that this node makes on its own behalf.
   */
  static final String NO_REQUEST = "";

  private static final int MAX_LIST_BYTES = 2 << 20;

  /** Many times what a report of all slots of an engine takes. */
  static final int MAX_REPORT_BYTES = 256 * 1024;

  private final HttpClient client;
  private final EngineProtocol protocol;
  private final ForwardedRequests forwarded;
  private final DecisionLog log;
  private final NoticeReader noticeReader;
  private final ReportCalls reportCalls = new ReportCalls(this);
  private final AnswerEndCheck answerEndCheck = new AnswerEndCheck(this);
  private final OrphanedRunCheck orphanedRuns;
  private final AnswerOwnership ownership;
  private final EngineAnswerMemory answers;
  private final Map<String, Integer> acceptedByService = new ConcurrentHashMap<>();
  private final Map<NetworkAddress, String> serviceByAddress = new ConcurrentHashMap<>();
  private final Set<NetworkAddress> forwarders = ConcurrentHashMap.newKeySet();
  private volatile Map<String, Double> loadShares = Map.of();

  /**
   * Starts the client.
   *
   * @param forwarded the requests that other nodes send for this one
   * @param answers the memory for what is kept of answers
   */
  EngineClient(
      EngineProtocol protocol,
      EngineNotices notices,
      ForwardedRequests forwarded,
      EngineAnswerMemory answers,
      DecisionLog log,
      Executor executor)
      throws Exception {
    this.protocol = protocol;
    this.forwarded = forwarded;
    this.answers = answers;
    this.log = log;
    this.noticeReader = new NoticeReader(protocol, notices, log);
    this.orphanedRuns =
        new OrphanedRunCheck(this, engine -> !notices.limits().limited(engine.id()), log);
    ConnectionLog connectionLog = new ConnectionLog(log);
    this.ownership = new AnswerOwnership(protocol, connectionLog);
    client =
        PlainHttpClients.start(
            executor,
            CONNECT_TIMEOUT,
            (owner, origin) -> new EngineDestination(owner, origin, connectionLog::idRepeated),
            this::newPool);
  }

  EngineProtocol protocol() {
    return protocol;
  }

  /** Finds out whether answers that do not tell their end are whole. */
  AnswerEndCheck answerEndCheck() {
    return answerEndCheck;
  }

  /** Ends answers that belong to other requests. */
  AnswerOwnership ownership() {
    return ownership;
  }

  /** Calls that ask engines for their reports. */
  ReportCalls reportCalls() {
    return reportCalls;
  }

  /** Finds out whether engines work on requests whose connections have ended. */
  OrphanedRunCheck orphanedRuns() {
    return orphanedRuns;
  }

  /** Updates how many connections the engines of each service accept. */
  void setServices(RoutingImage image) {
    image
        .services()
        .forEach(service -> acceptedByService.put(service.name(), service.maxConnections()));
  }

  /**
   * Sets this node's share of the requests that run at each service; see {@link ConnectionBound}.
   * Requests that wait for a connection get one now if the bound has risen, since a pool looks at
   * its bound only when a request comes or a connection becomes free.
   */
  void setLoadShares(Map<String, Double> shares) {
    loadShares = Map.copyOf(shares);
    for (Destination destination : client.getDestinations()) {
      if (destination instanceof HttpDestination queue && queue.getQueuedRequestCount() > 0) {
        queue.send();
      }
    }
  }

  private ConnectionPool newPool(Destination destination) {
    NetworkAddress address =
        new NetworkAddress(
            destination.getOrigin().getAddress().getHost(),
            destination.getOrigin().getAddress().getPort());
    if (forwarders.contains(address)) {
      return newPool(destination, FORWARDER_CONNECTIONS);
    }
    String service = serviceByAddress.getOrDefault(address, "");
    Integer accepted = acceptedByService.get(service);
    if (accepted == null) {
      return newPool(destination, PlainHttpClients.DEFAULT_CONNECTIONS);
    }
    return new BoundedConnectionPool(
        destination,
        ConnectionBound.greatest(accepted),
        () -> ConnectionBound.of(accepted, loadShares.getOrDefault(service, 0.0)));
  }

  private static ConnectionPool newPool(Destination destination, int bound) {
    return new BoundedConnectionPool(destination, bound, () -> bound);
  }

  /**
   * Sends the request of an attempt, to its engine or to the node that forwards it; the attempt
   * receives the outcome.
   */
  void send(Exchange exchange, EngineAttempt attempt) {
    ServingEngine engine = attempt.call().engine();
    org.eclipse.jetty.server.Request caller = exchange.request();
    HttpFields.Mutable headers = protocol.requestHeaders(caller.getHeaders(), attempt.call());
    serviceByAddress.put(engine.address(), engine.service());
    Optional<NetworkAddress> forwarder = exchange.progress().forwarder();
    EngineAnswerMemory.Share memory = answers.open(engine.address());
    Request request =
        newCall(
            forwarder.orElse(engine.address()),
            exchange.head().requestId(),
            caller.getMethod(),
            caller.getHttpURI().getPathQuery(),
            memory);
    request.onRequestBegin(SendState.orAbort(begun -> checkBeforeSend(exchange, begun)));
    Optional<ForwardedRun> run =
        forwarder.map(peer -> newForwardedRun(request, headers, exchange, attempt.call(), peer));
    noticeReader.watch(request, engine, exchange.head().requestId());
    attempt.send(withContent(request, headers, exchange.body()), run, memory);
  }

  /** Names the engine and a key for the request to the node that forwards it. */
  private ForwardedRun newForwardedRun(
      Request request,
      HttpFields.Mutable headers,
      Exchange exchange,
      EngineCall call,
      NetworkAddress peer) {
    forwarders.add(peer);
    String key = Long.toHexString(ThreadLocalRandom.current().nextLong());
    headers.put(ForwardingHeaders.ENGINE, call.engine().id()).put(ForwardingHeaders.KEY, key);
    if (exchange.envelope().route().repeatable() || call.prefillOnly()) {
      headers.put(ForwardingHeaders.OWNER, forwarded.owner().toString());
      request.onRequestBegin(begun -> forwarded.begin(key, System.nanoTime()));
    }
    return new ForwardedRun(
        () -> newOwnCall(peer, HttpMethod.DELETE.asString(), EngineForwarder.CANCEL_PREFIX + key),
        () -> forwarded.end(key, System.nanoTime()),
        client.getScheduler());
  }

  /**
   * Gives up an attempt that has brought no part of an answer; see {@link EngineAttempt#giveUp}.
   */
  boolean giveUp(EngineAttempt attempt, StuckReason reason) {
    return attempt.giveUp(reason, client.getExecutor());
  }

  private void checkBeforeSend(Exchange exchange, Request request) {
    long now = System.nanoTime();
    Optional<RequestEnd> end = exchange.checkEnd(now);
    end.ifPresent(cause -> log.sendWithheld(exchange, cause));
    Duration left = Duration.ofNanos(exchange.remainingNanos(now));
    withholdOrSetTimeLeft(request, end, Optional.of(left));
  }

  /**
   * Withholds a request that nobody waits for any more, and tells the receiver of any other what
   * time is left: a request may have waited long for a connection. Call when it begins.
   *
   * @param end why nobody waits for it; empty while somebody does
   * @param timeLeft empty to leave the request's own figure, if it has one
   */
  void withholdOrSetTimeLeft(
      Request request, Optional<RequestEnd> end, Optional<Duration> timeLeft) {
    if (end.isPresent()) {
      request.abort(new RequestOverException(end.get()));
    } else {
      timeLeft.ifPresent(left -> request.headers(headers -> protocol.setTimeLeft(headers, left)));
    }
  }

  /**
   * Prepares the request of another node, which has taken the permit of the engine's limit. What
   * the engine says in its answer holds for this node, too, since the engine hears from it.
   *
   * @param requestId the caller's id
   */
  Request newForwarded(
      ServingEngine engine,
      String requestId,
      String method,
      String path,
      HttpFields headers,
      byte[] body) {
    serviceByAddress.put(engine.address(), engine.service());
    EngineAnswerMemory.Share memory = answers.open(engine.address());
    Request request = newCall(engine.address(), requestId, method, path, memory);
    request.onComplete(result -> memory.release());
    noticeReader.watchForwarded(request, engine, requestId);
    return withContent(request, headers, body);
  }

  private static Request withContent(Request request, HttpFields headers, byte[] body) {
    request.headers(fields -> fields.clear().add(headers));
    return body.length == 0 ? request : request.body(new BytesRequestContent((String) null, body));
  }

  /** Frees a KV cache that nobody will fetch; best effort, since engines expire it anyway. */
  void freeHandle(ServingEngine engine, String handle) {
    newRequest(engine, HttpMethod.DELETE.asString(), protocol.freeHandlePath(handle))
        .timeout(BUSY_CONNECTION.toMillis(), TimeUnit.MILLISECONDS)
        .send(
            result -> {
              if (result.isFailed()) {
                LOG.debug("engines: A handle at {} was not freed.", engine.id());
              }
            });
  }

  @Override
  public void listCache(ServingEngine engine, Consumer<Optional<List<PromptPart>>> answer) {
    newRequest(engine, HttpMethod.GET.asString(), protocol.cacheListPath())
        .timeout(LIST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .send(
            new BufferingResponseListener(MAX_LIST_BYTES) {
              @Override
              public void onComplete(Result result) {
                boolean good =
                    result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200;
                answer.accept(good ? readList(engine, getContent()) : Optional.empty());
              }
            });
  }

  private Optional<List<PromptPart>> readList(ServingEngine engine, byte[] body) {
    try {
      return Optional.of(protocol.readCacheList(body));
    } catch (MalformedMessageException e) {
      LOG.warn("engines: The cache list of {} is not readable: {}.", engine.id(), e.getMessage());
      return Optional.empty();
    }
  }

  /** Prepares a call that asks an engine for its report; another engine at its address refuses. */
  Request newReport(ServingEngine engine) {
    return newRequest(engine, HttpMethod.GET.asString(), protocol.reportPath())
        .headers(headers -> headers.add(protocol.addresseeHeaders(engine)))
        .timeout(REPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** As {@link #newReport}, on a connection of its own that ends with the answer. */
  Request newReportOnNewConnection(ServingEngine engine) {
    return newReport(engine)
        .tag(OWN_CONNECTION)
        .headers(headers -> headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE));
  }

  /** Runs an action on a thread of the client's timer. */
  void runLater(Runnable action, Duration delay) {
    client.getScheduler().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Prepares a call that this node makes on its own behalf; the caller of this method sends it. */
  Request newRequest(ServingEngine engine, String method, String path) {
    serviceByAddress.put(engine.address(), engine.service());
    Request request = newOwnCall(engine.address(), method, path);
    request.onResponseHeaders(answer -> ownership.endUnlessOfOwnCall(answer, engine));
    noticeReader.watch(request, engine, NO_REQUEST);
    return request;
  }

  /** Its answer is short, and bounded by whoever keeps it. */
  private Request newOwnCall(NetworkAddress address, String method, String target) {
    EngineAnswerMemory.Share memory = answers.open(address);
    Request request = newCall(address, NO_REQUEST, method, target, memory);
    request.onRequestBegin(begun -> progressOf(begun).pause());
    request.onComplete(result -> memory.release());
    return request;
  }

  /**
   * Prepares a call whose receiver tells {@link #progressOf} of each part of the body.
   *
   * @param id the id that its answer is to name; empty for a call of this node's own
   * @param memory for the head of its answer
   */
  private Request newCall(
      NetworkAddress address,
      String id,
      String method,
      String target,
      EngineAnswerMemory.Share memory) {
    return new UnalteredRequest(client, address, id, target)
        .method(method)
        .idleTimeout(BUSY_CONNECTION.toMillis(), TimeUnit.MILLISECONDS)
        .onRequestBegin(begun -> progressOf(begun).expectMessage())
        .onResponseBegin(EngineClient::refuseSwitchOfProtocols)
        .onResponseHeader((answer, field) -> keepField(answer, field, memory));
  }

  /** The guard of the connection on which a request is sent. */
  static ProgressGuard progressOf(Request begun) {
    return begun.getConnection() instanceof Connection connection
        ? ProgressGuard.of(connection.getEndPoint())
        : new ProgressGuard();
  }

  private static boolean keepField(
      Response answer, HttpField field, EngineAnswerMemory.Share memory) {
    boolean room = memory.tryAddField(field.getName(), field.getValue());
    if (!room) {
      answer.abort(new IllegalStateException("no memory is left for the head of an answer"));
    }
    return room;
  }

  /** Nothing that follows would be an answer. */
  private static void refuseSwitchOfProtocols(Response answer) {
    if (answer.getStatus() == HttpStatus.SWITCHING_PROTOCOLS_101) {
      answer.abort(new IllegalStateException("an engine switches protocols unasked"));
    }
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }
}
