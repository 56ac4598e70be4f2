import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway process, started with the command of the deploy file; restarted when it ends. */
final class Gateway implements AutoCloseable {

  /** Bounds of the deployment; those of reparto-vg unless a case sets others. */
  static String contact = "3000ms";

  static String drain = "2000ms";
  static int slack = 54;

  final String name;
  final String ip;
  final int front;
  final int ready;
  private final Path settings;
  private final Path log;
  private volatile Process process;
  private volatile boolean closed;
  private volatile boolean wanted;
  private final List<String> ends = new ArrayList<>();
  private final long startedNanos = System.nanoTime();

  /**
   * Creates a gateway that is not started. As on the users' machines, every gateway has an address
   * of its own and the same internal port.
   *
   * @param number number of the gateway, from 1
   * @param internalPort port that is free on all addresses
   */
  Gateway(Path folder, int number, String store, int internalPort, String more)
      throws IOException {
    this.name = "edge-" + number;
    this.ip = ip(number);
    this.front = freePort();
    this.ready = freePort();
    this.settings = folder.resolve(name + ".toml");
    this.log = folder.resolve(name + ".log");
    String text =
        """
        [gateway]
        node_name = "%s"
        zone = "%s"
        callers = "%s:%d"
        readiness = "%s:%d"
        seeds = "%s"
        metrics_port = 0
        peers = "%s:%d"

        [machine]
        cpu_share = 0.75
        cores = 1
        bandwidth_mbps = 1000.0

        [store]
        address = "%s"

        [bounds]
        contact = "%s"
        drain = "%s"
        grace = "8s"
        retry_ratio = 0.2
        retry_slack = %d
        retry_window = "10s"

        [stages]
        lease_quiet = "3000ms"
        %s
        [log]
        format = "json"
        """
            .formatted(
                name, "zone-1", ip, front, ip, ready, seeds(), ip, internalPort, store, contact,
                drain, slack, more);
    Files.writeString(settings, text);
  }

  private static String ip(int number) {
    return "127.0.0." + (10 + number);
  }

  /** The control addresses of the first three machines; their ports are not used. */
  private static String seeds() {
    return ip(1) + ":8146," + ip(2) + ":8146," + ip(3) + ":8146";
  }

  /** A port that is free for TCP on all loopback addresses. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress("0.0.0.0", 0));
      return socket.getLocalPort();
    }
  }

  /** The words of the line `run` of the deploy file. */
  static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("no run line in deploy/system.toml");
  }

  void start() throws IOException {
    wanted = true;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    launch();
    MiniServer.thread("watch-" + name, this::watch);
  }

  private void launch() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("FALLTURN_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.redirectInput(new File("/dev/null"));
    process = builder.start();
  }

  /** As the platform does: a process that ended is started again after a short delay. */
  private void watch() {
    while (!closed) {
      try {
        Process present = process;
        int code = present.waitFor();
        if (closed || !wanted) {
          return;
        }
        synchronized (ends) {
          ends.add(code + " at " + (System.nanoTime() - startedNanos) / 1_000_000 + " ms");
        }
        Thread.sleep(300);
        if (!closed && wanted) {
          launch();
        }
      } catch (IOException | InterruptedException e) {
        return;
      }
    }
  }

  /** Ends of the process that this test did not cause, with their exit codes. */
  List<String> ends() {
    synchronized (ends) {
      return List.copyOf(ends);
    }
  }

  long pid() {
    return process.pid();
  }

  boolean signal(String signal) throws IOException, InterruptedException {
    return new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor() == 0;
  }

  /** Asks for readiness once. */
  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, ready), 500);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write(
              "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      String line = MiniServer.firstLine(socket.getInputStream());
      return line != null && line.startsWith("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(int seconds) throws InterruptedException {
    for (int i = 0; i < seconds * 20; i++) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  String log() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  @Override
  public void close() {
    closed = true;
    wanted = false;
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
