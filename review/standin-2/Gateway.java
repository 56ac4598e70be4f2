import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One gateway process, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {

  final String name;
  final String host;
  final int callers;
  private final int readiness;
  private final Path folder;
  private final String store;
  private final String seeds;
  private final int peers;
  private final int metrics;
  private final String zone;
  private Process process;
  private int starts;

  /** Ports: callers, readiness, peers, metrics; the same on the hosts of all gateways. */
  Gateway(
      String name,
      String host,
      String zone,
      List<Integer> ports,
      String store,
      List<String> seedHosts,
      Path folder) {
    this.name = name;
    this.host = host;
    this.zone = zone;
    this.callers = ports.get(0);
    this.readiness = ports.get(1);
    this.peers = ports.get(2);
    this.metrics = ports.get(3);
    this.store = store;
    this.seeds =
        String.join(",", seedHosts.stream().map(seed -> seed + ":" + ports.get(1)).toList());
    this.folder = folder;
  }

  private String settings() {
    return """
        [gateway]
        node_name = "%s"
        zone = "%s"
        callers = "%s:%d"
        readiness = "%s:%d"
        seeds = "%s"
        metrics_port = %d
        peers = "%s:%d"
        %s
        [machine]
        cpu_share = 0.75
        cores = 1
        bandwidth_mbps = 1000.0

        [store]
        address = "%s"

        [bounds]
        contact = "3000ms"
        drain = "2000ms"
        grace = "8s"
        retry_ratio = 0.2
        retry_slack = 58
        retry_window = "10s"

        [stages]
        lease_quiet = "3000ms"

        [duties]

        [log]
        format = "json"
        """
        .formatted(
            name,
            zone,
            host,
            callers,
            host,
            readiness,
            seeds,
            metrics,
            host,
            peers,
            starts == 0 ? "first_start = true\n" : "",
            store);
  }

  /** The run line of the deploy file, split at blanks as the platform does. */
  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(List.of(text.split(" +")));
      }
    }
    throw new IOException("deploy/system.toml has no run line");
  }

  void start() throws IOException {
    Path file = folder.resolve(name + ".toml");
    Files.writeString(file, settings());
    ProcessBuilder builder = new ProcessBuilder(command());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("FALLTURN_SETTINGS", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
    starts++;
  }

  boolean alive() {
    return process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  int starts() {
    return starts;
  }

  void awaitReady(long millis) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < end) {
      if (ready()) {
        return;
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException(name + " is not ready");
  }

  boolean ready() {
    try (Socket socket = connect(readiness)) {
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
      Http.Message answer = Http.read(socket.getInputStream(), true);
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  Socket connect() throws IOException {
    return connect(callers);
  }

  private Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** Sends a signal to this process, which this program has started. */
  void signal(String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() throws Exception {
    if (process != null && process.isAlive()) {
      process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
  }
}
