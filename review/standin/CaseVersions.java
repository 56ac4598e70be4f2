import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decode engines of two software versions serve side by side, and some break off a few of their
 * streams. Another writer puts entries without the field `version` over those of two engines.
 */
final class CaseVersions {

  private static final int GATEWAYS = 2;
  private static final int CLIENTS = 16;
  private static final int TIMEOUT_MILLIS = 3_000;
  private static final int DEADLINE_MILLIS = 3_000;
  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final int WRITER_DELAY_MILLIS = 300;

  /** Share of their streams that the faulty engines break off. */
  private static final double BROKEN_SHARE = 0.03;

  private final Record record = new Record();
  private final Random random = new Random(81);
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger streams = new AtomicInteger();
  private final AtomicInteger whole = new AtomicInteger();
  private final List<String> joined = new ArrayList<>();

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    CaseVersions play = new CaseVersions();
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

  /** A decode engine that breaks off a few of its streams inside an event. */
  private final class FaultyEngine extends Engine {

    FaultyEngine(String id, String version) throws Exception {
      super(id, "llm", "decode", version);
    }

    @Override
    void run(
        MiniServer.Request request, MiniServer.Connection connection, Map<String, String> headers)
        throws Exception {
      boolean breaksOff;
      synchronized (random) {
        breaksOff = random.nextDouble() < BROKEN_SHARE;
      }
      if (!breaksOff || request.header("Last-Event-Id") != null) {
        super.run(request, connection, headers);
        return;
      }
      broken.incrementAndGet();
      record.line(
          "%s (version %s) breaks off the stream of %s",
          id, version, request.header("X-Fallturn-Request-Id"));
      headers.put("X-Fallturn-Response-Stamp", "3e1b." + id + "." + runs.get());
      headers.put("Content-Type", "text/event-stream");
      connection.begin(200, headers);
      for (int event = 1; event <= 3; event++) {
        Thread.sleep(10);
        connection.chunk(event(event));
      }
      connection.chunk("id: 4\nda".getBytes(StandardCharsets.UTF_8));
      Thread.sleep(10);
      connection.socket.close();
    }
  }

  private int play(boolean trouble, Path folder, List<Gateway> gateways) throws Exception {
    Store store = new Store();
    store.put("op", "config", Config.configuration(7, TIMEOUT_MILLIS));
    List<Engine> engines = new ArrayList<>();
    engines.add(new Engine("i-pre0", "llm", "prefill", "1"));
    engines.add(new Engine("i-pre1", "llm", "prefill", "2"));
    engines.add(new FaultyEngine("i-dec1", "1"));
    engines.add(new FaultyEngine("i-dec2", "2"));
    engines.add(new Engine("i-dec3", "llm", "decode", "1"));
    engines.add(new Engine("i-dec4", "llm", "decode", "2"));
    engines.add(new Engine("i-app0", "app", "", "1"));
    for (Engine engine : engines) {
      store.put("servers", engine.id, engine.entry("ready"));
    }
    int internalPort = Gateway.freePort();
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(new Gateway(folder, i + 1, store.address(), internalPort, ""));
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
    Thread.sleep(3_000);
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      MiniServer.thread("client-" + i, () -> call(gateways.get(number % GATEWAYS), stop));
    }
    Thread.sleep(5_000);
    record.say("before: %d streams, %d broken off, %d of two versions", streams.get(), broken.get(), joined.size());
    long until = System.nanoTime() + 30_000_000_000L;
    while (System.nanoTime() - until < 0) {
      // Every engine writes its own entry, as at each heartbeat.
      for (Engine engine : engines) {
        store.put("servers", engine.id, engine.entry("ready"));
      }
      Thread.sleep(WRITER_DELAY_MILLIS);
      if (trouble) {
        for (Engine engine : List.of(engines.get(2), engines.get(3))) {
          String entry = engine.entry("ready").replaceAll("\"version\":\"[^\"]*\",", "");
          store.put("servers", engine.id, entry);
          record.line("another writer: servers/%s = %s", engine.id, entry);
        }
      }
      Thread.sleep(HEARTBEAT_MILLIS - WRITER_DELAY_MILLIS);
    }
    stop.set(true);
    Thread.sleep(1_000);
    record.say(
        "%d streams, %d broken off by their engines, %d served whole, %d of two versions",
        streams.get(), broken.get(), whole.get(), joined.size());
    joined.stream().limit(5).forEach(text -> record.say("%s", text));
    gateways.forEach(
        gateway -> record.say("%s ended by itself: %s", gateway.name, gateway.ends()));
    if (broken.get() < 5 || whole.get() < 100) {
      return 2;
    }
    boolean isBroken = joined.size() > 2;
    record.say(isBroken ? "ORDER is broken" : "ORDER holds");
    return isBroken ? 1 : 0;
  }

  private void call(Gateway gateway, AtomicBoolean stop) {
    try (Client client = new Client(gateway)) {
      while (!stop.get()) {
        Client.Answer answer =
            client.send(
                "POST",
                "/mera411/2f",
                "X-Fallturn-Model: m\r\nX-Fallturn-Token-Count: 160,6\r\n"
                    + "X-Fallturn-Prefix-Hash: 5c1e07a2:50,91bd3f06:40,"
                    + Client.newId().substring(0, 8)
                    + ":70\r\n",
                new byte[380],
                0,
                DEADLINE_MILLIS);
        check(answer);
        Thread.sleep(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The engines write their software version into each event. */
  private void check(Client.Answer answer) {
    streams.incrementAndGet();
    Set<String> versions = new TreeSet<>();
    List<String> events = new ArrayList<>();
    for (String line : new String(answer.body(), StandardCharsets.UTF_8).split("\n")) {
      if (line.startsWith("data: ")) {
        versions.add(line.split(" ")[1]);
        events.add(line.substring(6).replace(' ', ':'));
      }
    }
    whole.addAndGet(answer.status() == 200 && events.size() == 6 ? 1 : 0);
    record.line(
        "%s: %d, events as version:id %s %s", answer.id(), answer.status(), events, answer.failure());
    if (versions.size() > 1) {
      synchronized (joined) {
        joined.add(answer.id() + " got events as version:id " + events);
      }
    }
  }
}
