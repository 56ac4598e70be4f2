import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients send bodies that the configuration allows; then the platform hands most new connections
 * to one node for some seconds. Judges CONFIG: of the requests that outlast the timeoutMs of their
 * route, eight or more, and over a quarter, have no final answer 0.5 s after it.
 */
public final class BodiesAtOneNode {

  private static final int GATEWAYS = 9;
  private static final int CLIENTS = 47;
  private static final int BODY = 4_194_304;
  private static final int PART = 65_536;
  private static final long ROUTE_TIMEOUT_MS = 6_000;
  private static final long DEADLINE_MS = 12_000;
  private static final double MBPS_A_CLIENT = 16;

  private static final long CALM_MS = 6_000;
  private static final long TROUBLE_MS = 8_000;
  private static final long AFTER_MS = 4_000;
  private static final int OF_TEN_TO_ONE_NODE = 9;

  private static final AtomicLong IDS = new AtomicLong(0x5100000L);
  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger OUTLASTED = new AtomicInteger();
  private static final AtomicInteger LACKING = new AtomicInteger();
  private static final Map<String, Integer> ANSWERS = new LinkedHashMap<>();

  private BodiesAtOneNode() {}

  private static String config() {
    return """
        {"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/",\
        "type":"idempotent","timeoutMs":%d,"targetLatencyMs":600,"priority":1,"service":"app",\
        "maxAttempts":2,"resumable":false}],\
        "services":[{"name":"app","healthPath":"/health","maxConnections":110,"protocol":"h1",\
        "tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,\
        "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
        .formatted(ROUTE_TIMEOUT_MS, BODY);
  }

  public static void main(String[] arguments) {
    Fleet.play(arguments, BodiesAtOneNode::broken);
  }

  private static boolean broken(Fleet fleet) throws Exception {
    fleet.store.put("op", "config", config());
    for (int index = 0; index < 3; index++) {
      fleet.addEngine("i-app-" + index, "z" + index, 6, (request, deadline) -> 43);
    }
    fleet.startGateways(GATEWAYS, 3);
    Thread.sleep(1_000);
    long begun = System.nanoTime();
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < CLIENTS; index++) {
      int client = index;
      clients.add(Http.daemon("client-" + index, () -> client(fleet, client, begun)));
    }
    if (Fleet.trouble()) {
      Thread.sleep(CALM_MS);
      fleet.record.line("TROUBLE begins: 9 of 10 new connections go to edge-0");
      Thread.sleep(TROUBLE_MS);
      fleet.record.line("TROUBLE ends");
    }
    for (Thread client : clients) {
      client.join(60_000);
    }
    for (Gateway gateway : fleet.gateways) {
      if (!gateway.alive()) {
        fleet.record.line(gateway.name + " has ended by itself with " + gateway.exitCode());
      }
    }
    boolean broken = LACKING.get() >= 8 && 4 * LACKING.get() > OUTLASTED.get();
    String result =
        "sent " + SENT + ", served " + SERVED + ", answers " + ANSWERS + "; outlasted timeoutMs: "
            + OUTLASTED + ", of these without a final answer 0.5 s later: " + LACKING
            + "; CONFIG " + (broken ? "BROKEN" : "held");
    fleet.record.line(result);
    System.out.println(result);
    return broken;
  }

  private static void client(Fleet fleet, int client, long begun) {
    byte[] part = new byte[PART];
    while (true) {
      long ms = (System.nanoTime() - begun) / 1_000_000;
      if (ms >= CALM_MS + TROUBLE_MS + AFTER_MS) {
        return;
      }
      boolean gathered =
          Fleet.trouble()
              && ms >= CALM_MS
              && ms < CALM_MS + TROUBLE_MS
              && client % 10 < OF_TEN_TO_ONE_NODE;
      Gateway gateway = fleet.gateways.get(gathered ? 0 : client % GATEWAYS);
      String id = Long.toHexString(IDS.incrementAndGet());
      try (Client connection = new Client(gateway)) {
        send(fleet, connection, gateway, id, part);
      } catch (Exception e) {
        fleet.record.line("client of " + id + ": " + e);
        count("broken off");
      }
      pause(300);
    }
  }

  private static void send(
      Fleet fleet, Client connection, Gateway gateway, String id, byte[] part) throws Exception {
    SENT.incrementAndGet();
    fleet.record.line("sent " + id + " to " + gateway.name);
    long begun = System.nanoTime();
    connection.sendHead("POST", "/lohu930/2f", id, DEADLINE_MS, Map.of(), BODY);
    for (int at = 0; at < BODY; at += PART) {
      connection.sendBody(part, Math.min(PART, BODY - at));
      double due = (at + PART) * 8 / (MBPS_A_CLIENT * 1e3);
      pause((long) due - (System.nanoTime() - begun) / 1_000_000);
    }
    long whole = System.nanoTime();
    fleet.record.line("last byte of " + id);
    try {
      Http.Message answer = connection.answer((int) ROUTE_TIMEOUT_MS + 500);
      long ms = (System.nanoTime() - whole) / 1_000_000;
      if (ms > ROUTE_TIMEOUT_MS) {
        OUTLASTED.incrementAndGet();
      }
      fleet.record.line("answer " + answer.status() + " to " + id + " after " + ms + " ms");
      count(Integer.toString(answer.status()));
      if (answer.status() == 200) {
        SERVED.incrementAndGet();
      }
    } catch (java.net.SocketTimeoutException e) {
      OUTLASTED.incrementAndGet();
      LACKING.incrementAndGet();
      count("none");
      fleet.record.line(
          "NO ANSWER to " + id + " from " + gateway.name + " " + (ROUTE_TIMEOUT_MS + 500)
              + " ms after its last byte; run " + fleet.record.runs(id) + " times");
    }
  }

  private static synchronized void count(String answer) {
    ANSWERS.merge(answer, 1, Integer::sum);
  }

  private static void pause(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
