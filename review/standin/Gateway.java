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
  final int front;
  final int ready;
  final int peers;
  private final Path settings;
  private final Path log;
  private volatile Process process;
  private volatile boolean closed;
  private volatile boolean wanted;
  private final List<String> ends = new ArrayList<>();
  private final long startedNanos = System.nanoTime();

  Gateway(Path folder, String name, String zone, String store, int peers, String seeds, String more)
      throws IOException {
    this.name = name;
    this.front = freePort();
    this.ready = freePort();
    this.peers = peers;
    this.settings = folder.resolve(name + ".toml");
    this.log = folder.resolve(name + ".log");
    String text =
        """
        [gateway]
        node_name = "%s"
        zone = "%s"
        callers = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        seeds = "%s"
        metrics_port = 0
        peers = "127.0.0.1:%d"

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
            .formatted(name, zone, front, ready, seeds, peers, store, contact, drain, slack, more);
    Files.writeString(settings, text);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
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
      socket.connect(new InetSocketAddress("127.0.0.1", ready), 500);
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
