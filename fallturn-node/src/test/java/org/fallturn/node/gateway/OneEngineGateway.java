package org.fallturn.node.gateway;

import static org.awaitility.Awaitility.await;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.disconnect.EngineWork;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.RequestLimits;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServiceDefinition;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.routing.WeightedService;
import org.fallturn.node.settings.GatewaySettings;

/**
 * A gateway with one route and one application engine, or a few, whose store never changes. Its
 * callers name their requests and deadlines by the headers here.
 */
final class OneEngineGateway {

  /** Names a request; also what an engine answers with. */
  static final String ID_HEADER = "X-Id";

  /** How long the caller waits, in ms. */
  static final String DEADLINE_HEADER = "X-Deadline";

  /** Tells the engine how much time is left, in ms. */
  static final String TIME_LEFT_HEADER = "X-Time-Left";

  /** Says that the engine has not run the request. */
  static final String NOT_EXECUTED_HEADER = "X-Not-Executed";

  /** Says that the engine is about to end. */
  static final String LEAVING_HEADER = "X-Leaving";

  /** For how many seconds the engine wants no requests from the node that reads this. */
  static final String REST_HEADER = "X-Rest";

  /** Where an engine is asked for its report, which {@link RawEngine} answers while it runs. */
  static final String REPORT_PATH = "/report";

  /** Names the engine that a report is asked of. */
  static final String ENGINE_HEADER = "X-Engine";

  /** More than the buffers of a connection hold. */
  static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  /** Connections that the engine takes; a node that is alone may open half of them. */
  static final int ENGINE_CONNECTIONS = 8;

  /** Engines that may run a request that may be repeated. */
  private static final int MAX_ATTEMPTS = 2;

  /** Longer than any wait of a test, so that no answer comes from a missed deadline. */
  private static final Duration DEADLINE = Duration.ofSeconds(300);

  /** The text of settings with free ports on loopback. */
  static final String SETTINGS =
      """
      [gateway]
      node_name = "gateway-1"
      zone = "zone-1"
      callers = "127.0.0.1:0"
      readiness = "127.0.0.1:0"
      peers = "127.0.0.1:0"

      [bounds]
      stop_linger = "1s"
      retry_ratio = 10

      [store]
      address = "127.0.0.1:1"
      """;

  private static final Duration START = Duration.ofSeconds(20);

  private OneEngineGateway() {}

  /** Settings with free ports on loopback. */
  static GatewaySettings settings() throws Exception {
    return settings("");
  }

  /**
   * Settings with free ports on loopback.
   *
   * @param bounds further lines of the section on bounds
   */
  private static GatewaySettings settings(String bounds) throws Exception {
    String text = SETTINGS.replace("[bounds]\n", "[bounds]\n" + bounds + "\n");
    return GatewaySettings.from(GatewaySettings.reader().toml("test", text).values());
  }

  /**
   * Starts a gateway for engines and waits until it is ready.
   *
   * @param bounds further lines of the settings' section on bounds
   */
  static GatewayServer startWithBounds(String bounds, RequestKind kind, RawEngine... engines)
      throws Exception {
    return start(
        settings(bounds), platform(kind, false, listed(engines), engines(headers -> headers)));
  }

  /** Begins a planned stop on a thread of its own, which ends when the process would end. */
  static Thread beginStop(GatewayServer gateway) {
    Thread stop =
        new Thread(
            () -> {
              try {
                gateway.stopAsPlanned();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "planned-stop");
    stop.setDaemon(true);
    stop.start();
    await().atMost(START).until(() -> !gateway.ready());
    return stop;
  }

  /**
   * Starts a gateway for the engine and waits until it is ready.
   *
   * @param beforeSend called with the headers of each request, see {@link #engines}
   */
  static GatewayServer start(RawEngine engine, UnaryOperator<HttpFields> beforeSend)
      throws Exception {
    return start(RequestKind.NON_IDEMPOTENT, beforeSend, engine);
  }

  /**
   * Starts a gateway for engines and waits until it is ready.
   *
   * @param kind whether requests may be repeated
   * @param onHead called with the headers of each request and of each answer, see {@link #engines}
   */
  static GatewayServer start(
      RequestKind kind, UnaryOperator<HttpFields> onHead, RawEngine... engines) throws Exception {
    return start(kind, false, onHead, engines);
  }

  /**
   * As above, for streams that another engine may continue, or may not.
   *
   * @param resumable whether it may
   */
  static GatewayServer start(
      RequestKind kind, boolean resumable, UnaryOperator<HttpFields> onHead, RawEngine... engines)
      throws Exception {
    return start(platform(kind, resumable, listed(engines), engines(onHead)));
  }

  private static List<ServingEngine> listed(RawEngine... engines) {
    return IntStream.rangeClosed(1, engines.length)
        .mapToObj(number -> engine("e-" + number, engines[number - 1].address()))
        .toList();
  }

  /** Starts a gateway for streams that may be resumed, at model engines. */
  static GatewayServer startForModel(RawEngine... engines) throws Exception {
    return startForModelWithBounds("", engines);
  }

  /**
   * Starts a gateway for streams that may be resumed, at model engines.
   *
   * @param bounds further lines of the settings' section on bounds
   */
  static GatewayServer startForModelWithBounds(String bounds, RawEngine... engines)
      throws Exception {
    List<ServingEngine> listed =
        IntStream.rangeClosed(1, engines.length)
            .mapToObj(
                number -> engine("e-" + number, engines[number - 1].address(), EngineStage.DECODE))
            .toList();
    return start(
        settings(bounds),
        platform(RequestKind.STREAMING, true, listed, engines(headers -> headers)));
  }

  private static GatewayServer start(GatewayPlatform platform) throws Exception {
    return start(settings(), platform);
  }

  private static GatewayServer start(GatewaySettings settings, GatewayPlatform platform)
      throws Exception {
    GatewayServer gateway = new GatewayServer(settings, platform);
    gateway.start();
    await().atMost(START).until(gateway::ready);
    return gateway;
  }

  /**
   * Sends a request over a connection of its own.
   *
   * @param headers further headers, each with its line end
   */
  static Socket send(NetworkAddress port, String id, String headers, int bodyBytes)
      throws IOException {
    Socket caller = new Socket(port.host(), port.port());
    caller.setSoTimeout((int) START.toMillis());
    String head =
        "POST /x HTTP/1.1\r\nHost: host\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n"
            .formatted(ID_HEADER, id, headers, bodyBytes);
    caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    caller.getOutputStream().write(new byte[bodyBytes]);
    return caller;
  }

  /**
   * Has a request forwarded to an engine as another node does, over a connection of its own.
   *
   * @param headers further headers, each with its line end
   */
  static Socket forward(GatewayServer gateway, String engineId, String id, String headers)
      throws IOException {
    return send(
        gateway.peersAddress(),
        id,
        (ForwardingHeaders.ENGINE + ": " + engineId + "\r\n")
            + (ForwardingHeaders.KEY + ": " + id + "\r\n")
            + headers,
        0);
  }

  /** Reads all that comes until the node closes the connection, or resets it. */
  static String readToEnd(Socket caller) {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    try {
      caller.getInputStream().transferTo(read);
    } catch (SocketTimeoutException e) {
      throw new UncheckedIOException("the node did not end the answer", e);
    } catch (IOException e) {
      // The node reset the connection.
    }
    return read.toString(StandardCharsets.UTF_8);
  }

  /** Reads the begin of an answer: version and status. */
  static String readStatus(Socket caller) throws IOException {
    byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 502".length());
    return new String(status, StandardCharsets.US_ASCII);
  }

  /** The only engine, as it is listed. */
  static ServingEngine engine(NetworkAddress address) {
    return engine("e-1", address);
  }

  private static ServingEngine engine(String id, NetworkAddress address) {
    return engine(id, address, EngineStage.NONE);
  }

  private static ServingEngine engine(String id, NetworkAddress address, EngineStage stage) {
    return new ServingEngine(id, "app", address, "zone-1", 8, false, stage);
  }

  /**
   * Protocol of an engine that passes the caller's headers on.
   *
   * @param onHead called with the headers of each request, on the dispatch thread or, for another
   *     node's request, on the thread that sends it; and with those of each answer, on the thread
   *     that reads it
   */
  static EngineProtocol engines(UnaryOperator<HttpFields> onHead) {
    return (EngineProtocol)
        Proxy.newProxyInstance(
            EngineProtocol.class.getClassLoader(),
            new Class<?>[] {EngineProtocol.class},
            (self, method, arguments) ->
                switch (method.getName()) {
                  case "requestHeaders" -> ownHeaders(onHead.apply((HttpFields) arguments[0]));
                  case "setTimeLeft" -> setTimeLeft(arguments);
                  case "readNotice" -> notice((HttpFields) arguments[1]);
                  case "unknownHeaders" -> List.of();
                  case "timeLeft" -> timeLeft((HttpFields) arguments[0]);
                  case "readHead" ->
                      head((int) arguments[0], onHead.apply((HttpFields) arguments[1]));
                  case "answerHeaders" -> HttpFields.build();
                  case "reportPath" -> REPORT_PATH;
                  case "cacheListPath" -> "/cache";
                  case "readCacheList" -> List.of();
                  case "addresseeHeaders" ->
                      HttpFields.build().put(ENGINE_HEADER, ((ServingEngine) arguments[0]).id());
                  case "readReport" -> report((byte[]) arguments[0]);
                  default -> null;
                });
  }

  private static EngineReport report(byte[] body) {
    Optional<EngineWork> work = RawEngine.readWork(new String(body, StandardCharsets.US_ASCII));
    return new EngineReport(EngineStage.NONE, false, 0, OptionalLong.empty(), work);
  }

  private static HttpFields.Mutable ownHeaders(HttpFields caller) {
    HttpFields.Mutable headers = HttpFields.build();
    caller.stream().filter(field -> field.getName().startsWith("X-")).forEach(headers::add);
    return headers;
  }

  private static Void setTimeLeft(Object[] arguments) {
    long millis = ((Duration) arguments[1]).toMillis();
    ((HttpFields.Mutable) arguments[0]).put(TIME_LEFT_HEADER, millis);
    return null;
  }

  private static Optional<Duration> timeLeft(HttpFields headers) {
    return Optional.ofNullable(headers.get(TIME_LEFT_HEADER))
        .map(millis -> Duration.ofMillis(Long.parseLong(millis)));
  }

  private static EngineNotice notice(HttpFields headers) {
    return new EngineNotice(
        headers.contains(LEAVING_HEADER),
        Optional.ofNullable(headers.get(REST_HEADER))
            .map(seconds -> Duration.ofSeconds(Long.parseLong(seconds))),
        OptionalDouble.empty(),
        false,
        Optional.empty(),
        List.of());
  }

  private static EngineAnswerHead head(int status, HttpFields headers) {
    String id = headers.get(ID_HEADER);
    boolean notExecuted = headers.contains(NOT_EXECUTED_HEADER);
    return new EngineAnswerHead(status, notExecuted, !notExecuted, id == null ? "" : id);
  }

  private static String text(Request request, String header) {
    String text = request.getHeaders().get(header);
    return text == null ? "" : text;
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  /** Table with rows that never change; their keys are the numbers from 0. */
  private static final class FixedRows implements RowFeed {

    private final int count;

    FixedRows(int count) {
      this.count = count;
    }

    @Override
    public FeedAnswer snapshot() {
      List<FeedRow> rows =
          IntStream.range(0, count)
              .mapToObj(number -> new FeedRow(Integer.toString(number), at(1), "", false))
              .toList();
      return new FeedAnswer(rows, at(1));
    }

    @Override
    public FeedAnswer changesAfter(
        StorePosition after, Duration wait, BooleanSupplier stillWanted) {
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return new FeedAnswer(List.of(), after);
    }
  }

  /** Store with nothing in quarantine. */
  private static final class EmptyQuarantine implements QuarantineStore {

    @Override
    public List<StoredContent> read() {
      return List.of();
    }

    @Override
    public void put(RequestFingerprint content) {}

    @Override
    public void putSuspect(RequestFingerprint content, Set<String> engines) {}

    @Override
    public void remove(RequestFingerprint content) {}
  }

  private static RoutingImage routing(RequestKind kind, boolean resumable) {
    Route route =
        new Route(
            "route",
            "host",
            "/",
            kind,
            resumable,
            DEADLINE,
            DEADLINE,
            Duration.ZERO,
            DEADLINE,
            0,
            kind == RequestKind.IDEMPOTENT || resumable ? MAX_ATTEMPTS : 1,
            List.of(new WeightedService("app", 1)));
    return new RoutingImage(
        at(1),
        1,
        List.of(route),
        List.of(new ServiceDefinition("app", ENGINE_CONNECTIONS, Optional.empty())),
        limits());
  }

  private static RequestLimits limits() {
    RequestLimits usual = RequestLimits.defaults();
    return new RequestLimits(
        usual.maxHeaderBytes(), MAX_BODY_BYTES, usual.headerTimeout(), usual.idleTimeout());
  }

  private static CallerProtocol callers() {
    return new CallerProtocol() {
      @Override
      public CallerRequestHead readHead(Request request) {
        return new CallerRequestHead(
            text(request, ID_HEADER),
            "host",
            "/x",
            "",
            Optional.empty(),
            Optional.ofNullable(request.getHeaders().get(DEADLINE_HEADER))
                .map(millis -> Duration.ofMillis(Long.parseLong(millis))),
            Optional.empty(),
            Optional.empty());
      }

      @Override
      public void addOwnAnswerHeaders(
          HttpFields.Mutable headers, String requestId, Optional<Duration> retryAfter) {}
    };
  }

  /** Adapters for the only engine. */
  static GatewayPlatform platform(NetworkAddress address, EngineProtocol engines) {
    return platform(RequestKind.NON_IDEMPOTENT, false, List.of(engine(address)), engines);
  }

  private static GatewayPlatform platform(
      RequestKind kind, boolean resumable, List<ServingEngine> listed, EngineProtocol engines) {
    return new GatewayPlatform(
        callers(),
        engines,
        http -> new FixedRows(1),
        row -> true,
        row -> routing(kind, resumable),
        http -> new FixedRows(listed.size()),
        row -> listed.get(Integer.parseInt(row.key())),
        http -> null,
        http -> new EmptyQuarantine(),
        http -> null,
        (http, api) -> null,
        http -> null,
        (http, api) -> null,
        "/ready");
  }
}
