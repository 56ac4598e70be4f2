import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Clients send bodies as large as the operator's limits allow, to three gateways. Then the platform
 * hands most new connections to one of them for some seconds.
 */
final class CaseUploads {

  private static final int GATEWAYS = 3;
  private static final int UPLOADERS = 36;
  private static final int BODY_BYTES = 4_190_000;
  private static final int PAUSE_MILLIS = 40;
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int DEADLINE_MILLIS = 10_000;
  private static final int SLACK_MILLIS = 500;
  private static final long HAND_OVER_MILLIS = 8_000;

  private CaseUploads() {}

  /** An upload, as its client saw it; times in ms since the start of the play. */
  private record Upload(String id, int node, long sent, long ended, int status, boolean handedOver) {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path file = Path.of(arguments[0]);
    Path folder = Files.createTempDirectory("review");
    Record record = new Record();
    int code = 2;
    List<Gateway> gateways = new ArrayList<>();
    try {
      code = play(trouble, folder, record, gateways);
    } catch (Exception e) {
      record.say("the case could not run: %s", e);
    } finally {
      for (Gateway gateway : gateways) {
        gateway.close();
      }
      record.write(file);
    }
    System.exit(code);
  }

  private static int play(boolean trouble, Path folder, Record record, List<Gateway> gateways)
      throws Exception {
    Store store = new Store();
    store.put("op", "config", Config.configuration(7, TIMEOUT_MILLIS));
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      engines.add(new Engine("i-app" + i, "app", "", "1"));
    }
    engines.add(new Engine("i-pre0", "llm", "prefill", "1"));
    engines.add(new Engine("i-dec0", "llm", "decode", "1"));
    engines.forEach(engine -> store.put("servers", engine.id, engine.entry("ready")));
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
    Thread.sleep(2_000);
    record.say("three gateways are ready; %d clients begin to send %d bytes a request", UPLOADERS, BODY_BYTES);
    AtomicBoolean handOver = new AtomicBoolean();
    AtomicBoolean stop = new AtomicBoolean();
    List<Upload> uploads = new ArrayList<>();
    long begun = System.nanoTime();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < UPLOADERS; i++) {
      int number = i;
      clients.add(
          MiniServer.thread(
              "client-" + i,
              () -> upload(number, gateways, handOver, stop, uploads, begun, record)));
    }
    Thread.sleep(10_000);
    if (trouble) {
      record.say("most new connections go to %s", gateways.get(0).name);
      handOver.set(true);
    }
    Thread.sleep(HAND_OVER_MILLIS);
    handOver.set(false);
    record.say("new connections are shared again");
    Thread.sleep(4_000);
    stop.set(true);
    for (Thread client : clients) {
      client.join(12_000);
    }
    for (Engine engine : engines) {
      engine.runsById.forEach((id, runs) -> record.line("%s ran %s, %d times", engine.id, id, runs));
    }
    return judge(uploads, gateways, record);
  }

  private static void upload(
      int number,
      List<Gateway> gateways,
      AtomicBoolean handOver,
      AtomicBoolean stop,
      List<Upload> uploads,
      long begun,
      Record record) {
    byte[] body = new byte[BODY_BYTES];
    try {
      Thread.sleep(70L * number);
      while (!stop.get()) {
        boolean handed = handOver.get();
        int node = handed ? 0 : number % GATEWAYS;
        long from = millis(begun);
        try (Client client = new Client(gateways.get(node))) {
          Client.Answer answer =
              client.send("POST", "/pule252/2f", "", body, PAUSE_MILLIS, DEADLINE_MILLIS);
          long sent = answer.sentNanos() == 0 ? 0 : (answer.sentNanos() - begun) / 1_000_000;
          Upload upload =
              new Upload(answer.id(), node, sent, millis(begun), answer.whole() ? answer.status() : 0, handed);
          synchronized (uploads) {
            uploads.add(upload);
          }
          record.line(
              "%s to %s: begun at %d ms, sent whole at %d ms, %s at %d ms",
              upload.id(),
              gateways.get(node).name,
              from,
              sent,
              answer.whole() ? "answered " + answer.status() : "no answer (" + answer.failure() + ")",
              upload.ended());
        }
        Thread.sleep(300);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long millis(long begun) {
    return (System.nanoTime() - begun) / 1_000_000;
  }

  /**
   * CONFIG: requests that outlast their route's timeoutMs; of these, eight or more and over a
   * quarter lack a final answer 0.5 s later. Counted from the last byte sent, and only while the
   * client still waits.
   */
  private static int judge(List<Upload> uploads, List<Gateway> gateways, Record record) {
    int outlasted = 0;
    int lacking = 0;
    int served = 0;
    int refused = 0;
    int closed = 0;
    for (Upload upload : uploads) {
      served += upload.status() == 200 ? 1 : 0;
      refused += upload.status() >= 400 ? 1 : 0;
      if (upload.sent() == 0) {
        closed++;
        continue;
      }
      long took = upload.ended() - upload.sent();
      outlasted += took > TIMEOUT_MILLIS ? 1 : 0;
      lacking += took > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
    }
    record.say(
        "%d requests: %d served, %d refused, %d not sent whole; %d unanswered at timeoutMs (%d ms),"
            + " %d of them 0.5 s later",
        uploads.size(), served, refused, closed, outlasted, TIMEOUT_MILLIS, lacking);
    gateways.forEach(
        gateway -> record.say("%s ended by itself: %s", gateway.name, gateway.ends()));
    boolean broken = lacking >= 8 && lacking * 4 > outlasted;
    record.say(broken ? "CONFIG is broken" : "CONFIG holds");
    return broken ? 1 : 0;
  }
}
