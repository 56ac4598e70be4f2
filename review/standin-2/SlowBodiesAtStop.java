import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients with slow links send bodies that take some seconds; then one machine is stopped as
 * planned. Judges LOST: a process has read a whole request, and the connection ends with no
 * complete answer after the request has been passed on to an engine.
 */
public final class SlowBodiesAtStop {

  private static final int GATEWAYS = 3;
  private static final int CLIENTS = 180;
  private static final int BODY = 100_000;
  private static final int PART = 500;
  private static final double SEND_MS = 4_650;
  private static final long ROUTE_TIMEOUT_MS = 6_000;

  private static final long CALM_MS = 7_000;
  private static final long GRACE_MS = 8_000;
  private static final long AFTER_MS = 1_000;
  private static final long EXCUSED_MS = 3_000;

  private static final AtomicLong IDS = new AtomicLong(0x5300000L);
  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger LOST = new AtomicInteger();
  private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
  private static volatile long termNanos;

  private SlowBodiesAtStop() {}

  private static String config() {
    return """
        {"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/pule252/",\
        "type":"non_idempotent","timeoutMs":%d,"targetLatencyMs":150,"priority":2,\
        "service":"app","maxAttempts":1,"resumable":false}],"services":[{"name":"app",\
        "healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],\
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
        "idleTimeoutMs":15000}}"""
        .formatted(ROUTE_TIMEOUT_MS);
  }

  public static void main(String[] arguments) {
    Fleet.play(arguments, SlowBodiesAtStop::broken);
  }

  private static boolean broken(Fleet fleet) throws Exception {
    fleet.store.put("op", "config", config());
    for (int index = 0; index < 3; index++) {
      fleet.addEngine(
          "i-app-" + index, "z" + index, 6, (request, deadline) -> 43 + Math.random() * 177);
    }
    fleet.startGateways(GATEWAYS, 3);
    long begun = System.nanoTime();
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < CLIENTS; index++) {
      int client = index;
      clients.add(Http.daemon("client-" + index, () -> client(fleet, client, begun)));
    }
    Thread.sleep(CALM_MS);
    Gateway stopped = fleet.gateways.get(0);
    if (Fleet.trouble()) {
      termNanos = System.nanoTime();
      fleet.record.line("TROUBLE: SIGTERM to " + stopped.name);
      stopped.signal("TERM");
      while (stopped.alive()) {
        Thread.sleep(5);
      }
      fleet.record.line(
          stopped.name + " has ended with " + stopped.exitCode() + " after "
              + (System.nanoTime() - termNanos) / 1_000_000 + " ms");
    }
    for (Thread client : clients) {
      client.join(60_000);
    }
    boolean broken = LOST.get() > 0;
    String result =
        "sent " + SENT + ", answers " + ANSWERS + "; run, and cut without an answer: " + LOST
            + "; LOST " + (broken ? "BROKEN" : "held");
    fleet.record.line(result);
    System.out.println(result);
    return broken;
  }

  private static void client(Fleet fleet, int client, long begun) {
    pause(client * 5_000L / CLIENTS);
    byte[] part = new byte[PART];
    Gateway gateway = fleet.gateways.get(client % GATEWAYS);
    while (true) {
      long ms = (System.nanoTime() - begun) / 1_000_000;
      if (ms > CALM_MS + GRACE_MS + AFTER_MS) {
        return;
      }
      String id = Long.toHexString(IDS.incrementAndGet());
      long whole = 0;
      try (Client connection = new Client(gateway)) {
        connection.open();
        SENT.incrementAndGet();
        fleet.record.line("sent " + id + " to " + gateway.name);
        long start = System.nanoTime();
        connection.sendHead("POST", "/pule252/2f", id, 10_000, Map.of(), BODY);
        for (int at = 0; at < BODY; at += PART) {
          connection.sendBody(part, PART);
          pause((long) (SEND_MS * (at + PART) / BODY) - (System.nanoTime() - start) / 1_000_000);
        }
        whole = System.nanoTime();
        fleet.record.line("last byte of " + id);
        int status = connection.answer(10_000).status();
        fleet.record.line("answer " + status + " to " + id);
        ANSWERS.merge(Integer.toString(status), 1, Integer::sum);
      } catch (Exception e) {
        judgeCut(fleet, id, whole, e);
        // The entrance passes new connections to other machines while this one is not ready.
        gateway = fleet.gateways.get(1 + client % (GATEWAYS - 1));
      }
      pause(20);
    }
  }

  /** A request counts whose last byte was sent later than 3 s after SIGTERM, and which was run. */
  private static void judgeCut(Fleet fleet, String id, long wholeNanos, Exception cause) {
    boolean late = termNanos != 0 && wholeNanos - termNanos > EXCUSED_MS * 1_000_000;
    boolean lost = wholeNanos != 0 && late && fleet.record.runs(id) > 0;
    ANSWERS.merge(wholeNanos == 0 ? "cut within the request" : "cut", 1, Integer::sum);
    if (lost) {
      LOST.incrementAndGet();
      fleet.record.line(
          "LOST " + id + ": last byte " + (wholeNanos - termNanos) / 1_000_000
              + " ms after SIGTERM, run, no answer: " + cause);
    }
  }

  private static void pause(long millis) {
    if (millis > 0) {
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
