import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Five gateways serve two tenants and report their usage. The platform's store is away for a moment
 * and comes back from a copy that is some seconds old.
 */
final class CaseUsage {

  private static final int GATEWAYS = 5;
  private static final long WINDOW_MILLIS = 5_000;
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int DEADLINE_MILLIS = 8_000;
  private static final int LONG_WORK_MILLIS = 4_000;

  /** From the end of a window until the gateways report it; the store is away around then. */
  private static final long REPORT_DELAY_MILLIS = 2_600;

  private CaseUsage() {}

  /** A usage report that the platform accepted. */
  private record Report(long window, Map<String, Long> counts, String holder, String fence) {}

  private final Record record = new Record();
  private final List<Report> reports = new ArrayList<>();
  private final ObjectMapper json = new ObjectMapper();
  private long highestFence;

  /** Plays the case; the argument is the file of the record. */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    CaseUsage play = new CaseUsage();
    List<Gateway> gateways = new ArrayList<>();
    int code = 2;
    try {
      code = play.play(trouble, Files.createTempDirectory("review"), gateways);
    } catch (Exception e) {
      play.record.say("the case could not run: %s", e);
    } finally {
      for (Gateway gateway : gateways) {
        gateway.close();
      }
      play.record.write(Path.of(arguments[0]));
    }
    System.exit(code);
  }

  private void usage(MiniServer.Request request, MiniServer.Connection connection)
      throws Exception {
    JsonNode body = json.readTree(request.body());
    Map<String, Long> counts = new TreeMap<>();
    for (Map.Entry<String, JsonNode> count : body.path("counts").properties()) {
      counts.put(count.getKey(), count.getValue().asLong());
    }
    Report report =
        new Report(
            body.path("windowId").asLong(),
            counts,
            request.header("X-Fallturn-Duty-Holder"),
            request.header("X-Fallturn-Fencing-Token"));
    synchronized (reports) {
      long fence = Long.parseLong(report.fence());
      if (fence < highestFence) {
        record.say("%s is refused with fence %d", report.holder(), fence);
        connection.answer(409, Map.of(), new byte[0]);
        return;
      }
      highestFence = fence;
      reports.add(report);
    }
    record.say(
        "%s reports window %d with fence %s: %s, accepted",
        report.holder(), report.window(), report.fence(), report.counts());
    connection.answer(200, Map.of("Content-Type", "application/json"), "{}".getBytes(StandardCharsets.UTF_8));
  }

  private int play(boolean trouble, Path folder, List<Gateway> gateways) throws Exception {
    Gateway.contact = "4000ms";
    Gateway.drain = "3000ms";
    Gateway.slack = 166;
    Store store = new Store();
    MiniServer api = new MiniServer(this::usage);
    store.put("op", "config", Config.withTenants(Config.configuration(7, TIMEOUT_MILLIS)));
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      engines.add(new Engine("i-app" + i, "app", "", "1"));
    }
    for (int i = 0; i < 3; i++) {
      Engine batch = new Engine("i-batch" + i, "batch", "", "1");
      batch.workMillis = LONG_WORK_MILLIS;
      engines.add(batch);
    }
    engines.add(new Engine("i-pre0", "llm", "prefill", "1"));
    engines.add(new Engine("i-dec0", "llm", "decode", "1"));
    engines.forEach(engine -> store.put("servers", engine.id, engine.entry("ready")));
    int internalPort = Gateway.freePort();
    String duties =
        "\n[duties]\napi = \"%s\"\nusage_window = \"5s\"\nusage_late = \"10s\"\n"
            .formatted(api.address());
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(new Gateway(folder, i + 1, store.address(), internalPort, duties));
    }
    for (Gateway gateway : gateways) {
      gateway.start();
    }
    for (Gateway gateway : gateways) {
      if (!gateway.awaitReady(20)) {
        record.say("%s does not become ready", gateway.name);
        return 2;
      }
    }
    record.say("%d gateways are ready", GATEWAYS);
    AtomicBoolean stop = new AtomicBoolean();
    for (int i = 0; i < 30; i++) {
      int number = i;
      MiniServer.thread("client-" + i, () -> call(number, gateways, stop));
    }
    Thread.sleep(20_000);
    if (trouble) {
      loseWhatTheSystemWrote(store);
    } else {
      Thread.sleep(12_000);
    }
    Thread.sleep(25_000);
    stop.set(true);
    return judge(gateways);
  }

  /**
   * The copy is taken just before a window is reported. The store is away for 0.4 s when the next
   * one is due, and comes back from that copy, which is 5.1 s old then.
   */
  private void loseWhatTheSystemWrote(Store store) throws InterruptedException {
    long window = System.currentTimeMillis() / WINDOW_MILLIS + 1;
    long end = window * WINDOW_MILLIS;
    sleepUntil(end + REPORT_DELAY_MILLIS - 100);
    Store.Copy copy = store.copy();
    record.say("a copy of the store is taken");
    sleepUntil(end + WINDOW_MILLIS + REPORT_DELAY_MILLIS - 100);
    record.say("the store goes away");
    store.goAway();
    Thread.sleep(400);
    store.comeBack(copy, List.of("op", "servers"));
    record.say("the store is back, from the copy");
  }

  private static void sleepUntil(long unixMillis) throws InterruptedException {
    Thread.sleep(Math.max(0, unixMillis - System.currentTimeMillis()));
  }

  private void call(int number, List<Gateway> gateways, AtomicBoolean stop) {
    boolean slow = number % 3 == 0;
    String key = number % 2 == 0 ? "key-a" : "key-b";
    try (Client client = new Client(gateways.get(number % GATEWAYS))) {
      Thread.sleep(number * 135L);
      while (!stop.get()) {
        Client.Answer answer =
            client.send(
                slow ? "POST" : "GET",
                slow ? "/taze777/2f" : "/puxa403/2f",
                "Authorization: Bearer " + key + "\r\n",
                new byte[0],
                0,
                DEADLINE_MILLIS);
        record.line(
            "client %d, %s: %d %s", number, answer.id(), answer.status(), answer.failure());
        Thread.sleep(slow ? 50 : 100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** ONE: for one window, the platform accepts two usage reports whose counts differ. */
  private int judge(List<Gateway> gateways) {
    Map<Long, Report> first = new TreeMap<>();
    boolean broken = false;
    for (Report report : reports) {
      Report before = first.putIfAbsent(report.window(), report);
      if (before != null && !before.counts().equals(report.counts())) {
        broken = true;
        record.say(
            "window %d: %s reported %s, then %s reported %s",
            report.window(), before.holder(), before.counts(), report.holder(), report.counts());
      }
    }
    gateways.forEach(
        gateway -> record.say("%s ended by itself: %s", gateway.name, gateway.ends()));
    if (first.size() < 4) {
      record.say("only %d windows were reported", first.size());
      return 2;
    }
    record.say(broken ? "ONE is broken" : "ONE holds");
    return broken ? 1 : 0;
  }
}
