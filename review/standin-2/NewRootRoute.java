import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The operator adds a route with the prefix "/", and clients use it. Judges UNASKED: an engine runs
 * a request whose method, path, query or body was changed.
 */
public final class NewRootRoute {

  private static final int GATEWAYS = 3;
  private static final int CLIENTS = 9;
  private static final long CALM_MS = 6_000;
  private static final long AFTER_MS = 10_000;
  private static final long CONFIG_APPLY_MS = 2_000;

  private static final AtomicLong IDS = new AtomicLong(0x5200000L);
  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger RAN = new AtomicInteger();
  private static final AtomicInteger CHANGED = new AtomicInteger();
  private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();

  /** What engines ran: request line and body length by request id. */
  private static final Map<String, String> RUN = new ConcurrentHashMap<>();

  private static final String OLD_ROUTE =
      """
      {"name":"r-1","host":"ficu95.example","pathPrefix":"/pule252/","type":"non_idempotent",\
      "timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"app","maxAttempts":1,\
      "resumable":false}""";

  private static final String ROOT_ROUTE =
      """
      {"name":"r-2","host":"ficu95.example","pathPrefix":"/","type":"non_idempotent",\
      "timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"app","maxAttempts":1,\
      "resumable":false}""";

  private NewRootRoute() {}

  private static String config(int version, String routes) {
    return """
        {"version":%d,"routes":[%s],"services":[{"name":"app","healthPath":"/health",\
        "maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,\
        "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
        .formatted(version, routes);
  }

  public static void main(String[] arguments) {
    Fleet.play(arguments, NewRootRoute::broken);
  }

  private static boolean broken(Fleet fleet) throws Exception {
    fleet.store.put("op", "config", config(7, OLD_ROUTE));
    for (int index = 0; index < 3; index++) {
      fleet.addEngine("i-app-" + index, "z" + index, 6, NewRootRoute::work);
    }
    fleet.startGateways(GATEWAYS, 3);
    long begun = System.nanoTime();
    List<Thread> clients =
        java.util.stream.IntStream.range(0, CLIENTS)
            .mapToObj(index -> Http.daemon("client", () -> client(fleet, index, begun)))
            .toList();
    Thread.sleep(CALM_MS);
    if (Fleet.trouble()) {
      fleet.store.put("op", "config", config(12, OLD_ROUTE + "," + ROOT_ROUTE));
      fleet.record.line("TROUBLE: the configuration changes; a route with the prefix / is added");
    }
    for (Thread client : clients) {
      client.join(30_000);
    }
    boolean broken = CHANGED.get() > 0;
    String result =
        "sent " + SENT + ", run " + RAN + ", answers " + ANSWERS
            + "; run with another path or query than sent: " + CHANGED
            + "; UNASKED " + (broken ? "BROKEN" : "held");
    fleet.record.line(result);
    System.out.println(result);
    return broken;
  }

  private static double work(Http.Message request, long deadline) {
    RUN.put(
        request.header("X-Fallturn-Request-Id"),
        request.method() + " " + request.target() + " " + Arrays.hashCode(request.body));
    return 43;
  }

  private static void client(Fleet fleet, int index, long begun) {
    // Paths as RFC 9112 allows them: an absolute path may have empty segments.
    List<String> paths =
        List.of("/pule252/2f?n=1", "/pule252//2f", "//pule252/cancel?n=1", "/img/2f", "//img/2f");
    try (Client connection = new Client(fleet.gateways.get(index % GATEWAYS))) {
      for (int turn = 0; ; turn++) {
        long ms = (System.nanoTime() - begun) / 1_000_000;
        if (ms > CALM_MS + AFTER_MS) {
          return;
        }
        boolean settling = ms > CALM_MS - 500 && ms < CALM_MS + CONFIG_APPLY_MS;
        if (!settling) {
          send(fleet, connection, paths.get(turn % paths.size()));
        }
        Thread.sleep(50);
      }
    } catch (Exception e) {
      fleet.record.line("client ends: " + e);
    }
  }

  private static void send(Fleet fleet, Client connection, String path) throws Exception {
    String id = Long.toHexString(IDS.incrementAndGet());
    byte[] body = ("order " + id).getBytes("US-ASCII");
    SENT.incrementAndGet();
    fleet.record.line("sent " + id + " POST " + path);
    connection.sendHead("POST", path, id, 1_000, Map.of(), body.length);
    connection.sendBody(body, body.length);
    Http.Message answer = connection.answer(3_000);
    ANSWERS.merge(Integer.toString(answer.status()), 1, Integer::sum);
    fleet.record.line("answer " + answer.status() + " to " + id);
    String ran = RUN.get(id);
    if (ran == null) {
      return;
    }
    RAN.incrementAndGet();
    if (!ran.equals("POST " + path + " " + Arrays.hashCode(body))) {
      CHANGED.incrementAndGet();
      fleet.record.line("CHANGED " + id + ": sent POST " + path + ", an engine ran " + ran);
    }
  }
}
