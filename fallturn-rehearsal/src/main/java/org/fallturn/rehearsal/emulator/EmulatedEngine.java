package org.fallturn.rehearsal.emulator;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One engine or application back end of the platform: runs requests, reads prompts ahead, hands KV
 * cache over by handles, and counts what it ran. Faults are queued; each is used by one request,
 * and the standing fault by the others. Thread-safe.
 */
public final class EmulatedEngine implements AutoCloseable {

  /** Version of an engine's software unless another is given. */
  public static final String FIRST_VERSION = "v1";

  /** Names a request, in it and in its answer. */
  static final String REQUEST_ID = "X-Fallturn-Request-Id";

  /** Marks the answers of engines; its value names the engine behind a prefix. */
  static final String STAMP = "X-Fallturn-Response-Stamp";

  static final String STAMP_PREFIX = "stamp-";

  private static final String NOT_EXECUTED = "X-Fallturn-Not-Executed";
  private static final String STAGE_HEADER = "X-Fallturn-Stage";
  private static final String KV_SOURCE = "X-Fallturn-Kv-Source";
  private static final String EXPECT_INSTANCE = "X-Fallturn-Expect-Instance";
  private static final String INSTANCE = "X-Fallturn-Instance-Id";
  static final String HANDLE_PATH = "/-/kv-handle/";
  private static final String CACHE_LIST_PATH = "/-/kv-list";
  private static final String REPORT_PATH = "/-/report";
  private static final String ORDER_PATH = "/-/order";
  static final String PREFIX_HASH = "X-Fallturn-Prefix-Hash";
  private static final String LAST_EVENT_ID = "Last-Event-Id";

  /** Says that an engine leaves. */
  static final String LEAVING = "Server-Leaving";

  /** Says how many requests a second an engine takes from all nodes together. */
  private static final String LIMIT = "Server-Limit";

  /** From the beginning of a run to the crash; 20 to 120 ms have been seen. */
  private static final long CRASH_MILLIS = 30;

  private final String id;
  private final String service;
  private final String softwareVersion;
  private final OptionalLong bornMillis;
  private final EngineOrderBook orders = new EngineOrderBook();
  private volatile String stage;
  private final EmulatedServer server;
  private final ConcurrentLinkedDeque<EngineFault> nextFaults = new ConcurrentLinkedDeque<>();
  private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<HttpFields> heads = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  private final Set<String> handles = ConcurrentHashMap.newKeySet();
  private final EmulatedCache cache = new EmulatedCache();
  private final AtomicInteger handleNumber = new AtomicInteger();
  private final HeldWork heldWork = new HeldWork();
  private final RefusalCopies refusalCopies = new RefusalCopies();
  private final EngineCrashes crashes = new EngineCrashes();
  private final AtomicReference<EngineFault> standing = new AtomicReference<>(EngineFault.NONE);
  private volatile boolean leaving;
  private volatile String rest = "";
  private volatile String padding = "";
  private volatile Duration runTime = Duration.ZERO;
  private final AnswerParts parts = new AnswerParts();
  private volatile CountDownLatch gate = new CountDownLatch(0);
  private volatile String limit = "";

  /**
   * Starts on any free port.
   *
   * @param stage prefill, decode, or empty for an application
   */
  public EmulatedEngine(String id, String service, String stage) throws Exception {
    this(id, service, FIRST_VERSION, stage);
  }

  EmulatedEngine(String id, String service, String softwareVersion, String stage) throws Exception {
    this(id, service, softwareVersion, stage, 0, OptionalLong.empty());
  }

  private EmulatedEngine(
      String id,
      String service,
      String softwareVersion,
      String stage,
      int port,
      OptionalLong bornMillis)
      throws Exception {
    this.id = id;
    this.service = service;
    this.softwareVersion = softwareVersion;
    this.stage = stage;
    this.bornMillis = bornMillis;
    this.server = new EmulatedServer(new EngineHandler(), port);
  }

  /** Starts on any free port, and tells when it started. */
  static EmulatedEngine bornAt(long bornMillis, String id, String service, String stage)
      throws Exception {
    return new EmulatedEngine(id, service, FIRST_VERSION, stage, 0, OptionalLong.of(bornMillis));
  }

  /** Another process under the address of this one, which has ended. */
  EmulatedEngine successor(String newId) throws Exception {
    return new EmulatedEngine(
        newId, service, softwareVersion, stage, address().port(), OptionalLong.empty());
  }

  /** The same engine once it has ended and started again: it holds nothing of before. */
  EmulatedEngine restarted() throws Exception {
    OptionalLong later = OptionalLong.of(bornMillis.orElseThrow() + 1);
    return new EmulatedEngine(id, service, softwareVersion, stage, address().port(), later);
  }

  /** Whether it tells when it started, so that a restart shows though its id stays. */
  boolean tellsItsStart() {
    return bornMillis.isPresent();
  }

  /** The field of its row and its reports that tells when it started, if it tells that. */
  String born() {
    return bornMillis.isPresent() ? ",\"born\":" + bornMillis.getAsLong() : "";
  }

  /**
   * Crashes on some requests.
   *
   * @param crashed is called on a thread of its own, and is to close this engine
   */
  void crashOn(PoisonRequests requests, EngineCrash when, Consumer<EmulatedEngine> crashed) {
    crashes.add(new EngineCrashes.Crash(requests, when, crashed));
  }

  /**
   * A request that reached it, whatever became of it.
   *
   * @param nanos when, by the steady clock
   * @param prefill whether its prompt was only to be read
   */
  public record Arrival(String requestId, long nanos, boolean prefill) {}

  /** The beginning of a run, by the steady clock. */
  public record Run(String requestId, long nanos) {}

  /** The events of a whole stream of the first version. */
  public static String wholeStream() {
    return StreamEvents.after(0, FIRST_VERSION);
  }

  /** Its id. */
  public String id() {
    return id;
  }

  /** The service that it is part of. */
  public String service() {
    return service;
  }

  /** The version of its software, which its events name. */
  public String softwareVersion() {
    return softwareVersion;
  }

  /** Where it listens. */
  public NetworkAddress address() {
    return server.address();
  }

  /** The row it keeps in the store. */
  public String row(boolean draining) {
    return EngineRowText.of(this, draining);
  }

  /** Misbehaves with the next requests, one fault each. */
  public void failNext(EngineFault... faults) {
    nextFaults.addAll(List.of(faults));
  }

  /** Misbehaves with every request that no queued fault is for. */
  public void misbehave(EngineFault fault) {
    standing.set(fault);
  }

  /** As {@link #misbehave}, if it misbehaves as expected until now; returns whether it did. */
  public boolean misbehaveInPlaceOf(EngineFault expected, EngineFault fault) {
    return standing.compareAndSet(expected, fault);
  }

  /** Turns requests away from now on, and sends its refusals twice; see {@link RefusalCopies}. */
  public void repeatRefusals(long seed) {
    refusalCopies.begin(seed);
  }

  /** Ends what {@link #repeatRefusals} began. */
  public void endRepeatingRefusals() {
    refusalCopies.end();
  }

  /** Reads prompts one after the other at so many tokens a ms; else, at once. */
  public void readAt(double tokensPerMilli) {
    cache.readAt(tokensPerMilli);
  }

  /** Says in every answer from now on that it is about to end; it serves on. */
  public void sayLeaving() {
    leaving = true;
  }

  /**
   * Names in every answer from now on how many requests a second it takes; it serves any number.
   *
   * @param perSecond as it says it; empty to say nothing of it
   */
  public void nameLimit(String perSecond) {
    limit = perSecond;
  }

  /** Requests that it runs from now on begin to be answered once the gate opens. */
  public void holdRunsUntil(CountDownLatch opened) {
    gate = opened;
  }

  /** From now on its runs take so long, and are answered at their end. */
  public void runFor(Duration duration) {
    runTime = duration;
  }

  /** What stays unanswered is worked on for so long after its connection has ended. */
  public void workOnAfterEnd(Duration duration) {
    heldWork.lastBeyondEnd(duration);
  }

  /** Whether it works on after the end of a connection. */
  public boolean worksOnAfterEnd() {
    return heldWork.lastsBeyondEnd();
  }

  /** Sets whether answers have neither a length nor chunks, and end with their connections. */
  public void endAnswersWithConnection(boolean value) {
    parts.endWithConnection(value);
  }

  /**
   * Answers in parts from now on, with a pause after each: after each event, or after half of an
   * answer that ends with its connection.
   */
  public void pauseInAnswers(Duration pause) {
    parts.setPause(pause);
  }

  /** Application answers are longer by so many bytes from now on. */
  public void padAnswers(int bytes) {
    padding = ".".repeat(bytes);
  }

  /**
   * Turns every request away from now on.
   *
   * @param seconds for how long it wants nothing, as it says it; empty to take requests again
   */
  public void turnAwayFor(String seconds) {
    rest = seconds;
  }

  /** Ids of the requests that it ran, in order. */
  public List<String> runs() {
    return runs.stream().map(Run::requestId).toList();
  }

  /** The requests that it ran, in order. */
  public List<Run> timedRuns() {
    return List.copyOf(runs);
  }

  /** The requests that reached it, in order. */
  public List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Heads of the requests that reached it, in order. */
  public List<HttpFields> heads() {
    return List.copyOf(heads);
  }

  /** Its present stage. */
  public String stage() {
    return stage;
  }

  /** The orders that it has taken, as they came. */
  public List<String> takenOrders() {
    return orders.taken();
  }

  /** Handles that wait to be fetched. */
  public Set<String> waitingHandles() {
    return Set.copyOf(handles);
  }

  /** Requests whose caller closed the connection while they ran. */
  public int abandoned() {
    return (int) heldWork.all().stream().filter(OpenWork::ended).count();
  }

  /** The work that it was silent on. */
  public List<OpenWork> openWork() {
    return heldWork.all();
  }

  /** Ends as a process that is killed; see {@link EmulatedServer#kill}. */
  @Override
  public void close() throws Exception {
    server.kill();
    parts.end();
    server.close();
  }

  /** Serves one connection's requests. */
  private final class EngineHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      String path = Request.getPathInContext(request);
      if (rest.isEmpty()) {
        refusalCopies.writeDue(endPoint(request), request.getHeaders().get(REQUEST_ID));
      }
      if (leaving) {
        response.getHeaders().put(LEAVING, "1");
      }
      if (!limit.isEmpty()) {
        response.getHeaders().put(LIMIT, limit);
      }
      if (path.startsWith(HANDLE_PATH)) {
        boolean waited = handles.remove(path.substring(HANDLE_PATH.length()));
        response.setStatus(waited ? HttpStatus.OK_200 : HttpStatus.NOT_FOUND_404);
        response.write(true, BufferUtil.EMPTY_BUFFER, callback);
        return true;
      }
      if (path.equals(CACHE_LIST_PATH)) {
        AnswerParts.writeLast(response, callback, cache.list());
        return true;
      }
      String expected = request.getHeaders().get(EXPECT_INSTANCE);
      if (path.equals(REPORT_PATH) && expected != null && !expected.equals(id)) {
        refuse(request, response, callback, HttpStatus.MISDIRECTED_REQUEST_421);
        return true;
      }
      if (path.equals(REPORT_PATH)) {
        AnswerParts.writeLast(response, callback, orders.report(stage, born() + heldWork.report()));
        return true;
      }
      if (path.equals(ORDER_PATH)) {
        order(request, response, callback);
        return true;
      }
      heads.add(request.getHeaders().asImmutable());
      arrivals.add(arrival(request.getHeaders()));
      String body = Content.Source.asString(request, StandardCharsets.UTF_8);
      if (crashes(body, request, response, callback)) {
        return true;
      }
      EngineFault queued = nextFaults.poll();
      serve(request, response, callback, queued == null ? standing.get() : queued);
      return true;
    }

    /** Whether this engine has crashed on the request; it says no more then. */
    private boolean crashes(String body, Request request, Response response, Callback callback)
        throws Exception {
      HttpFields headers = request.getHeaders();
      Optional<EngineCrashes.Crash> crash =
          crashes.of(headers, body, headers.contains(STAGE_HEADER));
      if (crash.isEmpty()) {
        return false;
      }
      if (crash.get().when() == EngineCrash.MIDWAY) {
        parts.delimit(response);
        response.getHeaders().put(REQUEST_ID, headers.get(REQUEST_ID));
        response.getHeaders().put(STAMP, STAMP_PREFIX + id);
        parts.write(response, StreamEvents.event(1, softwareVersion));
      }
      TimeUnit.MILLISECONDS.sleep(CRASH_MILLIS);
      server.kill();
      callback.failed(new EofException("crashed"));
      Runnable end = () -> crash.get().crashed().accept(EmulatedEngine.this);
      new Thread(end, "crash-" + id).start();
      return true;
    }

    private static Arrival arrival(HttpFields headers) {
      return new Arrival(
          headers.get(REQUEST_ID), System.nanoTime(), headers.contains(STAGE_HEADER));
    }

    private void order(Request request, Response response, Callback callback) throws Exception {
      if (!id.equals(request.getHeaders().get(EXPECT_INSTANCE))) {
        refuse(request, response, callback, HttpStatus.MISDIRECTED_REQUEST_421);
        return;
      }
      EngineOrderBook.Answer answer =
          orders.take(Content.Source.asString(request, StandardCharsets.UTF_8), stage);
      stage = answer.stage();
      response.setStatus(answer.status());
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    }

    private void serve(Request request, Response response, Callback callback, EngineFault fault)
        throws Exception {
      HttpFields headers = request.getHeaders();
      response.getHeaders().put(REQUEST_ID, headers.get(REQUEST_ID));
      String expected = headers.get(EXPECT_INSTANCE);
      if (expected != null && !expected.equals(id)) {
        response.getHeaders().put(INSTANCE, id);
        refuse(request, response, callback, HttpStatus.MISDIRECTED_REQUEST_421);
      } else if (!rest.isEmpty()) {
        response.getHeaders().put(HttpHeader.RETRY_AFTER, rest);
        refuse(request, response, callback, HttpStatus.SERVICE_UNAVAILABLE_503);
      } else if (fault == EngineFault.REJECT
          || refusalCopies.turnsAway(endPoint(request), headers.get(REQUEST_ID))) {
        refuse(request, response, callback, HttpStatus.SERVICE_UNAVAILABLE_503);
      } else if (headers.contains(STAGE_HEADER)) {
        prefill(request, response, callback, fault);
      } else if (headers.contains(KV_SOURCE) && !KvSource.take(headers.get(KV_SOURCE))) {
        refuse(request, response, callback, HttpStatus.SERVICE_UNAVAILABLE_503);
      } else {
        runs.add(new Run(headers.get(REQUEST_ID), System.nanoTime()));
        gate.await();
        if (parts.endWithin(runTime)) {
          close(request, callback);
          return;
        }
        if (!headers.contains(KV_SOURCE)) {
          cache.read(headers.get(PREFIX_HASH));
        }
        run(request, response, callback, fault);
      }
    }

    private void refuse(Request request, Response response, Callback callback, int status) {
      response.setStatus(status);
      response.getHeaders().put(NOT_EXECUTED, "1");
      String requestId = response.getHeaders().get(REQUEST_ID);
      if (requestId != null) {
        refusalCopies.add(endPoint(request), requestId, status, response.getHeaders());
      }
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    }

    private void prefill(Request request, Response response, Callback callback, EngineFault fault)
        throws Exception {
      if (fault == EngineFault.LOSE_ANSWER) {
        close(request, callback);
        return;
      }
      if (fault == EngineFault.SILENT) {
        waitUntilGone(request, callback);
        return;
      }
      if (fault == EngineFault.FAIL) {
        response.setStatus(HttpStatus.INTERNAL_SERVER_ERROR_500);
        response.getHeaders().put(STAMP, STAMP_PREFIX + id);
        AnswerParts.writeLast(response, callback, "failed");
        return;
      }
      cache.read(request.getHeaders().get(PREFIX_HASH));
      String handle = "h-" + id + "-" + handleNumber.incrementAndGet();
      handles.add(handle);
      String body = "{\"kvHandle\":\"" + handle + "\",\"tokens\":10,\"version\":1}";
      AnswerParts.writeLast(response, callback, body);
    }

    private void run(Request request, Response response, Callback callback, EngineFault fault)
        throws Exception {
      response.getHeaders().put(STAMP, STAMP_PREFIX + id);
      parts.delimit(response);
      switch (fault) {
        case FAIL -> {
          response.setStatus(HttpStatus.INTERNAL_SERVER_ERROR_500);
          AnswerParts.writeLast(response, callback, "failed");
        }
        case LOSE_ANSWER -> close(request, callback);
        case SILENT -> waitUntilGone(request, callback);
        case ENDLESS -> sendWithoutEnd(request, callback);
        case HEAD_ONLY -> {
          response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
          parts.write(response, "");
          close(request, callback);
        }
        case RESET_WITHOUT_LENGTH -> resetWithoutLength(request, callback);
        case WRONG_REQUEST -> {
          response.getHeaders().put(REQUEST_ID, "another");
          AnswerParts.writeLast(response, callback, "of another request");
        }
        case UNSIGNED -> {
          response.getHeaders().remove(STAMP);
          AnswerParts.writeLast(response, callback, "unsigned");
        }
        case UNAVAILABLE_BUT_RAN -> {
          response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
          AnswerParts.writeLast(response, callback, "");
        }
        default -> answer(request, response, callback, fault == EngineFault.BREAK_MIDWAY);
      }
    }

    private void answer(Request request, Response response, Callback callback, boolean breakOff)
        throws Exception {
      if (stage.isEmpty()) {
        answerWhole(request, response, callback, breakOff);
        return;
      }
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
      String after = request.getHeaders().get(LAST_EVENT_ID);
      int first = after == null ? 1 : Integer.parseInt(after) + 1;
      for (int event = first; event <= StreamEvents.COUNT; event++) {
        if (breakOff && event > first) {
          parts.write(response, "id: " + event + "\nda");
          close(request, callback);
          return;
        }
        parts.write(response, StreamEvents.event(event, softwareVersion));
        parts.pause();
      }
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    }

    private void answerWhole(
        Request request, Response response, Callback callback, boolean breakOff) throws Exception {
      String body = "answer of " + id + padding;
      if (!breakOff) {
        parts.writeWhole(response, callback, body);
        return;
      }
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length());
      parts.write(response, body.substring(0, body.length() - 1));
      close(request, callback);
    }

    private static EndPoint endPoint(Request request) {
      return request.getConnectionMetaData().getConnection().getEndPoint();
    }

    private void close(Request request, Callback callback) {
      endPoint(request).close();
      callback.failed(new EofException("breaks off on command"));
    }

    private void resetWithoutLength(Request request, Callback callback) throws Exception {
      EndPoint connection = endPoint(request);
      RawAnswers.beginWithoutLength(connection, request.getHeaders().get(REQUEST_ID), id);
      parts.pause();
      RawAnswers.resetAtEnd(connection);
      close(request, callback);
    }

    private void sendWithoutEnd(Request request, Callback callback) {
      RawAnswers.sendWithoutEnd(endPoint(request), request.getHeaders().get(REQUEST_ID), id);
      close(request, callback);
    }

    private void waitUntilGone(Request request, Callback callback) throws Exception {
      heldWork.work(request.getHeaders().get(REQUEST_ID), request);
      close(request, callback);
    }
  }
}
