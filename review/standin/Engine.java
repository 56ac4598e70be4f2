import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine: an application back end, or a model engine of one stage. */
class Engine implements AutoCloseable {

  final String id;
  final String service;
  final String stage;
  final String version;
  final long born = System.currentTimeMillis();
  final MiniServer server;
  final AtomicInteger runs = new AtomicInteger();
  final Map<String, Integer> runsById = new ConcurrentHashMap<>();
  private final AtomicInteger handles = new AtomicInteger();
  final java.util.Queue<String> targets = new java.util.concurrent.ConcurrentLinkedQueue<>();
  volatile int workMillis = 30;

  Engine(String id, String service, String stage, String version) throws IOException {
    this.id = id;
    this.service = service;
    this.stage = stage;
    this.version = version;
    this.server = new MiniServer(this::handle);
  }

  String entry(String state) {
    String text =
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-1\",\"version\":\"%s\",\"slots\":%d,"
                .formatted(service, server.address(), version, stage.isEmpty() ? 6 : 48)
            + "\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":%d"
                .formatted(state, born);
    return stage.isEmpty()
        ? text + "}"
        : text + ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1}]}";
  }

  Map<String, String> head(MiniServer.Request request) {
    Map<String, String> headers = new LinkedHashMap<>();
    if (request.header("X-Fallturn-Request-Id") != null) {
      headers.put("X-Fallturn-Request-Id", request.header("X-Fallturn-Request-Id"));
    }
    return headers;
  }

  private void handle(MiniServer.Request request, MiniServer.Connection connection)
      throws Exception {
    if (request.path().startsWith("/-/")) {
      control(request, connection);
      return;
    }
    Map<String, String> headers = head(request);
    String expected = request.header("X-Fallturn-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      headers.put("X-Fallturn-Instance-Id", id);
      connection.answer(421, headers, new byte[0]);
      return;
    }
    if ("prefill".equals(request.header("X-Fallturn-Stage"))) {
      headers.put("Content-Type", "application/json");
      String body =
          "{\"kvHandle\":\"h-%s-%d\",\"tokens\":100,\"version\":1}"
              .formatted(id, handles.incrementAndGet());
      connection.answer(200, headers, body.getBytes(StandardCharsets.UTF_8));
      return;
    }
    targets.add(request.method() + " " + request.target() + " " + request.body().length);
    runs.incrementAndGet();
    runsById.merge(request.header("X-Fallturn-Request-Id"), 1, Integer::sum);
    run(request, connection, headers);
  }

  /** Runs one request. */
  void run(
      MiniServer.Request request, MiniServer.Connection connection, Map<String, String> headers)
      throws Exception {
    headers.put("X-Fallturn-Response-Stamp", "3e1b." + id + "." + runs.get());
    if (stage.isEmpty()) {
      Thread.sleep(workMillis);
      connection.answer(200, headers, ("answer " + id).getBytes(StandardCharsets.UTF_8));
      return;
    }
    headers.put("Content-Type", "text/event-stream");
    headers.put("X-Fallturn-Weight-Versions", "1");
    String after = request.header("Last-Event-Id");
    connection.begin(200, headers);
    for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= 6; event++) {
      Thread.sleep(10);
      connection.chunk(event(event));
    }
    connection.end();
  }

  byte[] event(int number) {
    return ("id: " + number + "\ndata: " + version + " " + number + "\n\n")
        .getBytes(StandardCharsets.UTF_8);
  }

  private void control(MiniServer.Request request, MiniServer.Connection connection)
      throws Exception {
    String body =
        switch (request.path()) {
          case "/-/report" ->
              "{\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                      .formatted(stage)
                  + "\"busy\":false,\"sequence\":1,\"queued\":0,\"running\":0,\"kvUsed\":0,"
                  + "\"kvTotal\":495255,\"kvHandles\":0,\"born\":" + born + "}";
          case "/-/kv-list" -> "{\"epoch\":1,\"nextPageToken\":1,\"held\":[]}";
          default -> "{}";
        };
    int status = request.path().equals("/-/order") ? 409 : 200;
    connection.answer(
        status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() {
    server.close();
  }
}
