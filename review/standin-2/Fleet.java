import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A store, engines of one plain service and gateways on loopback addresses, for one case. */
final class Fleet implements AutoCloseable {

  final Store store;
  final Record record;
  final List<Engine> engines = new ArrayList<>();
  final List<Gateway> gateways = new ArrayList<>();
  private final Path folder;

  Fleet(Path caseFolder) throws IOException {
    folder = Files.createTempDirectory("fallturn-review-2");
    record = new Record(caseFolder.resolve("record.txt"));
    store = new Store("127.0.0.1");
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  Engine addEngine(String id, String zone, int slots, Engine.Work work) throws IOException {
    Engine engine = new Engine(id, "app", "127.0.0.1", zone, slots, 24, work, record);
    engines.add(engine);
    store.put("servers", id, engine.entry("ready", 1));
    return engine;
  }

  /** Starts gateways on 127.0.0.11 and on; their zones take turns. */
  void startGateways(int count, int zones) throws Exception {
    List<String> hosts = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      hosts.add("127.0.0." + (11 + index));
    }
    List<Integer> ports = Http.freePorts(hosts, 4);
    for (int index = 0; index < count; index++) {
      Gateway gateway =
          new Gateway(
              "edge-" + index,
              hosts.get(index),
              "z" + index % zones,
              ports,
              store.server.address(),
              hosts.subList(0, Math.min(3, count)),
              folder);
      gateways.add(gateway);
      gateway.start();
    }
    for (Gateway gateway : gateways) {
      gateway.awaitReady(30_000);
    }
  }

  Path folder() {
    return folder;
  }

  private void end() {
    for (Gateway gateway : gateways) {
      try {
        gateway.close();
      } catch (Exception e) {
        // It has ended.
      }
    }
  }

  @Override
  public void close() throws Exception {
    end();
    record.close();
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    } else {
      System.out.println("logs: " + folder);
    }
  }

  /** Whether the case plays its disruption. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
  interface Play {
    boolean broken(Fleet fleet) throws Exception;
  }

  static void play(String[] arguments, Play play) {
    int code = 2;
    try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
      code = play.broken(fleet) ? 1 : 0;
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code);
  }
}
