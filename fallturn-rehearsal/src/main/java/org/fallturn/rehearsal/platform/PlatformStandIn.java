package org.fallturn.rehearsal.platform;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.core.port.table.ReadRequest;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowList;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;
import org.fallturn.node.http.HttpAnswers;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.fallturn.rehearsal.StandInAnswers;
import org.fallturn.rehearsal.platform.PlatformFaults.Part;

/**
 * The platform in memory, behind its published protocol. Any thread may call the public methods.
 * Faults are set by {@link #setFaults} or {@code POST /control/faults}, machines by {@link
 * #setMachines} or {@code POST /control/machines}.
 */
public final class PlatformStandIn implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final int MAX_THREADS = 32;
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final String AFTER = "after=";
  private static final String OBJECTS = "/v1/objects/";

  private final PlatformSettings settings;
  private final JsonCodec codec = new JsonCodec();
  private final HttpAnswers answers = new HttpAnswers(codec);
  private final TableStore table = new TableStore();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> operations = new ConcurrentHashMap<>();
  private final MachineHistory machines;
  private final FaultPlan faults = new FaultPlan();
  private final RateLimit tableLimit;
  private final RateLimit objectLimit;
  private final RateLimit weightLimit;
  private final ScheduledExecutorService delays;
  private HttpListener listener;

  /** A platform that does not listen yet. */
  public PlatformStandIn(PlatformSettings settings) {
    this.settings = settings;
    long now = System.nanoTime();
    machines = new MachineHistory(TimeUnit.MILLISECONDS.toNanos(settings.machineLagMillis()), now);
    tableLimit = new RateLimit(settings.tableRequestsPerSecond(), now);
    objectLimit = new RateLimit(settings.objectRequestsPerSecond(), now);
    weightLimit = new RateLimit(settings.weightBytesPerSecond(), now);
    delays = Executors.newSingleThreadScheduledExecutor(PlatformStandIn::daemon);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "platform-delays");
    thread.setDaemon(true);
    return thread;
  }

  /** Binds and starts. */
  public PlatformStandIn start() throws Exception {
    HttpRouter router = new HttpRouter(codec);
    router.route("POST", "/v1/table/read", limited(Part.TABLE, tableLimit, this::read));
    router.route("POST", "/v1/table/scan", limited(Part.TABLE, tableLimit, this::scan));
    router.route("POST", "/v1/table/transact", limited(Part.TABLE, tableLimit, this::transact));
    router.route("PUT", OBJECTS, limited(Part.OBJECTS, objectLimit, this::putObject));
    router.route("GET", OBJECTS, limited(Part.OBJECTS, objectLimit, this::getObject));
    router.route("POST", "/v1/weights/pull", limited(Part.WEIGHTS, null, this::pullWeights));
    router.route("GET", "/v1/machines", limited(Part.MACHINES, null, this::listMachines));
    router.message("/control/faults", PlatformFaults.class, MAX_BODY_BYTES, this::controlFaults);
    router.message("/control/machines", MachineList.class, MAX_BODY_BYTES, this::controlMachines);
    router.message("/control/machine", Machine.class, MAX_BODY_BYTES, this::controlMachine);
    listener = new HttpListener("platform", settings.listen(), MAX_THREADS, router);
    return this;
  }

  /** Where it listens. */
  public NetworkAddress address() {
    return listener.address();
  }

  /** The rows, for tests that look behind the protocol. */
  public TableStore table() {
    return table;
  }

  /** Requests served since the start, by operation and table. */
  public Map<String, Long> operationCounts() {
    Map<String, Long> counts = new TreeMap<>();
    operations.forEach((operation, count) -> counts.put(operation, count.sum()));
    return counts;
  }

  private void count(String operation, String subject) {
    operations.computeIfAbsent(operation + " " + subject, key -> new LongAdder()).increment();
  }

  /** Replaces all faults. */
  public void setFaults(PlatformFaults next) {
    faults.set(next);
  }

  /** Replaces the machine list; readers see it one lag later. */
  public void setMachines(List<Machine> next) {
    machines.change(list -> next, System.nanoTime());
  }

  /** Adds or replaces one machine. */
  public void putMachine(Machine machine) {
    machines.change(
        list -> {
          list.removeIf(other -> other.id().equals(machine.id()));
          list.add(machine);
          return list;
        },
        System.nanoTime());
  }

  /** Takes a machine off the list. */
  public void removeMachine(String id) {
    machines.change(
        list -> {
          list.removeIf(machine -> machine.id().equals(id));
          return list;
        },
        System.nanoTime());
  }

  @Override
  public void close() throws Exception {
    delays.shutdownNow();
    faults.set(PlatformFaults.NONE);
    if (listener != null) {
      listener.close();
    }
  }

  /** An operation of the platform, run after faults and limits were looked at. */
  private interface Operation {
    void run(Exchange exchange) throws Exception;
  }

  /** One request with its answer under way. */
  private record Exchange(Request request, Response response, Callback callback, byte[] body) {}

  private org.fallturn.node.http.RouteHandler limited(
      Part part, RateLimit limit, Operation operation) {
    return (request, response, callback) -> {
      byte[] body = HttpRouter.read(request, MAX_BODY_BYTES);
      Exchange exchange = new Exchange(request, response, callback, body);
      PlatformFaults now = faults.current();
      if (now.silent().contains(part)) {
        faults.hold(() -> StandInAnswers.cut(request, response, callback));
      } else if (now.refusing().contains(part)) {
        status(exchange, UNAVAILABLE);
      } else if (limit != null && !limit.tryTake(1, System.nanoTime())) {
        status(exchange, TOO_MANY_REQUESTS);
      } else if (now.delayMillis() > 0) {
        delays.schedule(() -> run(operation, exchange), now.delayMillis(), TimeUnit.MILLISECONDS);
      } else {
        run(operation, exchange);
      }
    };
  }

  private void run(Operation operation, Exchange exchange) {
    try {
      operation.run(exchange);
    } catch (MalformedMessageException | IllegalArgumentException e) {
      answers.json(exchange.response(), BAD_REQUEST, e.getMessage(), exchange.callback());
    } catch (Exception e) {
      exchange.callback().failed(e);
    }
  }

  private void read(Exchange exchange) throws MalformedMessageException {
    ReadRequest request = codec.decode(exchange.body(), ReadRequest.class);
    count("read", request.keys().stream().findFirst().map(RowKey::table).orElse(""));
    json(exchange, new RowList(table.read(request.keys())));
  }

  private void scan(Exchange exchange) throws MalformedMessageException {
    ScanRequest request = codec.decode(exchange.body(), ScanRequest.class);
    count("scan", request.table());
    json(exchange, new RowList(table.scan(request)));
  }

  private void transact(Exchange exchange) throws MalformedMessageException {
    TableTransaction transaction = codec.decode(exchange.body(), TableTransaction.class);
    count(
        "transact", transaction.writes().stream().findFirst().map(w -> w.key().table()).orElse(""));
    TransactionAnswer answer = table.transact(transaction);
    if (faults.takeLostAnswer(transaction)) {
      StandInAnswers.cut(exchange.request(), exchange.response(), exchange.callback());
    } else {
      json(exchange, answer);
    }
  }

  private void putObject(Exchange exchange) {
    count("put", "object");
    objects.put(objectName(exchange), exchange.body());
    status(exchange, NO_CONTENT);
  }

  private void getObject(Exchange exchange) {
    count("get", "object");
    byte[] content = objects.get(objectName(exchange));
    if (content == null) {
      status(exchange, NOT_FOUND);
      return;
    }
    exchange.response().setStatus(OK);
    exchange.response().write(true, java.nio.ByteBuffer.wrap(content), exchange.callback());
  }

  private static String objectName(Exchange exchange) {
    return Request.getPathInContext(exchange.request()).substring(OBJECTS.length());
  }

  private void pullWeights(Exchange exchange) throws MalformedMessageException {
    WeightPull pull = codec.decode(exchange.body(), WeightPull.class);
    long wanted = Math.max(0, settings.weightBytes() - pull.offset());
    long granted = (long) weightLimit.takeUpTo(wanted, System.nanoTime());
    json(exchange, new WeightPull.Answer(granted, settings.weightBytes()));
  }

  private void listMachines(Exchange exchange) {
    MachineList list = machines.seenAt(System.nanoTime());
    String query = exchange.request().getHttpURI().getQuery();
    if ((AFTER + list.version()).equals(query)) {
      count("machines", "unchanged");
      status(exchange, NOT_MODIFIED);
    } else {
      count("machines", "whole list");
      json(exchange, list);
    }
  }

  private CompletionStage<PlatformFaults> controlFaults(PlatformFaults next) {
    setFaults(next);
    return CompletableFuture.completedFuture(next);
  }

  private CompletionStage<MachineList> controlMachines(MachineList next) {
    setMachines(next.machines());
    return CompletableFuture.completedFuture(next);
  }

  private CompletionStage<Machine> controlMachine(Machine next) {
    putMachine(next);
    return CompletableFuture.completedFuture(next);
  }

  private void json(Exchange exchange, Object body) {
    answers.json(exchange.response(), OK, body, exchange.callback());
  }

  private static void status(Exchange exchange, int status) {
    exchange.response().setStatus(status);
    exchange.callback().succeeded();
  }
}
