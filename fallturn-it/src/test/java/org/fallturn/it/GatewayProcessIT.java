package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gateway.ProcessExit;
import org.fallturn.platform.PlatformMain;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.EmulatedClient.Call;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.fallturn.rehearsal.emulator.EngineFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A gateway as a process of its own: settings file, signals, log lines and exit code. */
class GatewayProcessIT {

  private static final Duration LONGEST = Duration.ofSeconds(60);

  @TempDir private Path folder;
  private static final String STREAM = EmulatedPlatform.STREAM;
  private static final int PROMPT = 300;

  private static final int MOST_STARTS = 5;

  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(1);
  private static final int CONNECTIONS = 32;

  private EmulatedPlatform platform;
  private EmulatedEngine application;
  private EmulatedClient client;
  private Process process;
  private NetworkAddress callers;
  private int metricsPort;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    application = platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    client = new EmulatedClient();
    startProcess();
    for (int again = 0; again < MOST_STARTS && logged("METRICS_REFUSED"); again++) {
      process.destroyForcibly().waitFor();
      startProcess();
    }
  }

  /**
   * A free port may be taken by another process of the machine before the gateway binds it, which
   * then serves without figures: seen once as a refused connection beside many other processes.
   */
  private void startProcess() throws Exception {
    callers = new NetworkAddress("127.0.0.1", freePort());
    metricsPort = freePort();
    writeSettings("grace = \"4s\"");
    process = newProcess();
    await().atMost(LONGEST).until(() -> served() == 200);
  }

  private Process newProcess() throws IOException {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            PlatformMain.class.getName(),
            settings().toString())
        .redirectErrorStream(true)
        .redirectOutput(log().toFile())
        .start();
  }

  @AfterEach
  void stop() throws Exception {
    process.destroyForcibly().waitFor();
    client.close();
    platform.close();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private Path settings() {
    return folder.resolve("settings.toml");
  }

  private Path log() {
    return folder.resolve("log");
  }

  private void writeSettings(String bounds) throws IOException {
    Files.writeString(
        settings(),
        String.format(
            Locale.ROOT,
            """
            [gateway]
            node_name = "gateway-1"
            zone = "zone-1"
            callers = "%s"
            readiness = "127.0.0.1:0"
            peers = "127.0.0.1:0"
            metrics_port = %d
            [store]
            address = "%s"
            [bounds]
            %s
            """,
            callers,
            metricsPort,
            platform.store().address(),
            bounds));
  }

  private int served() throws Exception {
    return client.call(callers, EmulatedPlatform.IDEMPOTENT, 0).status();
  }

  private void signal(String name) throws Exception {
    List<String> command = List.of("kill", "-" + name, Long.toString(process.pid()));
    assertThat(new ProcessBuilder(command).start().waitFor()).isZero();
  }

  private boolean logged(String event) throws IOException {
    return Files.readString(log()).contains("\"event\":\"" + event + "\"");
  }

  @Test
  void hangUpSignalReloadsAndAMistakeIsRefusedWithItsLine() throws Exception {
    signal("HUP");
    await().atMost(LONGEST).until(() -> logged("SETTINGS_RELOADED"));
    writeSettings("grace = \"soon\"");
    signal("HUP");
    await().atMost(LONGEST).until(() -> logged("SETTINGS_REFUSED"));
    assertThat(Files.readString(log())).contains("bounds.grace", "settings.toml:11");
    assertThat(process.isAlive()).isTrue();
    assertThat(served()).isEqualTo(200);
  }

  /**
   * Guards against a process that lives on without serving anybody: its start had failed, and the
   * threads that had started by then kept it alive.
   */
  @Test
  void startThatFailsEndsTheProcess() throws Exception {
    process.destroyForcibly().waitFor();
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String readiness = "readiness = \"127.0.0.1:" + taken.getLocalPort() + "\"";
      String text = Files.readString(settings());
      Files.writeString(settings(), text.replace("readiness = \"127.0.0.1:0\"", readiness));
      process = newProcess();
      assertThat(process.waitFor(LONGEST.toSeconds(), TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isEqualTo(ProcessExit.START_FAILED);
      assertThat(Files.readString(log()))
          .contains("The gateway cannot start", Integer.toString(taken.getLocalPort()));
    }
  }

  /** A request is counted as finished a moment after its caller has the answer. */
  @Test
  void figuresAreServedAsText() {
    await()
        .atMost(LONGEST)
        .untilAsserted(
            () ->
                assertThat(figures())
                    .contains("fallturn_gateway_events_total{event=\"FINISHED\",detail=\"\"}")
                    .contains("fallturn_gateway_whole_ms_count ")
                    .contains("fallturn_gateway_engines 1\n"));
  }

  private String figures() throws IOException {
    URL address = new URL("http://127.0.0.1:" + metricsPort + "/metrics");
    try (InputStream body = address.openStream()) {
      return new String(body.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /**
   * Guards against a signal to reload that ends a process which is starting. The settings come
   * through a pipe here, so that the process waits for them while the signal is sent; a file takes
   * the pipe's place before they come.
   */
  @Test
  void hangUpSignalDuringTheStartDoesNotEndTheProcess() throws Exception {
    process.destroyForcibly().waitFor();
    Path file = Files.copy(settings(), folder.resolve("copy.toml"));
    Files.delete(settings());
    assertThat(new ProcessBuilder("mkfifo", settings().toString()).start().waitFor()).isZero();
    process = newProcess();
    try (OutputStream pipe = Files.newOutputStream(settings())) {
      signal("HUP");
      byte[] text = Files.readAllBytes(file);
      Files.move(file, settings(), StandardCopyOption.REPLACE_EXISTING);
      pipe.write(text);
    }
    await().atMost(LONGEST).until(() -> served() == 200);
    assertThat(process.isAlive()).isTrue();
  }

  /** The commands of docs/operations/failed-requests.md find the cause of each kind. */
  @Test
  void failedRequestsAreExplainedByTheCommandsOfThePage() throws Exception {
    EmulatedEngine decode = platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode");
    await().atMost(LONGEST).until(() -> client.call(callers, STREAM, PROMPT).status() == 200);
    application.failNext(EngineFault.REJECT);
    String refused = client.call(callers, EmulatedPlatform.NON_IDEMPOTENT, 0).requestId();
    decode.failNext(EngineFault.BREAK_MIDWAY);
    String cutShort = client.call(callers, STREAM, PROMPT).requestId();
    application.failNext(EngineFault.SILENT);
    String late =
        client
            .send(callers, EmulatedPlatform.NON_IDEMPOTENT, 0, Duration.ofMillis(700))
            .await()
            .requestId();
    assertThat(output("Refused", refused, "NO_CAPACITY"))
        .contains("NOT_EXECUTED", "engine=a-1", "REFUSED");
    assertThat(output("Cut short", cutShort, "BROKEN_MIDWAY")).contains("BEGAN", "engine=d-1");
    assertThat(output("Late", late, "TIME_OVER")).contains("PLACED", "possibleRuns=1");
  }

  /** What the commands of a section print, once the log has the word that is waited for. */
  private String output(String section, String request, String awaited) throws Exception {
    String page = Files.readString(root().resolve("docs/operations/failed-requests.md"));
    String text = page.substring(page.indexOf("## " + section));
    int next = text.indexOf("\n## ", 1);
    String[] parts = (next < 0 ? text : text.substring(0, next)).split("```");
    StringBuilder script = new StringBuilder();
    for (int block = 1; block < parts.length; block += 2) {
      script.append(parts[block].replace("LOG", log().toString()).replace("ID", request));
    }
    String[] printed = new String[1];
    await()
        .atMost(LONGEST)
        .until(
            () -> {
              printed[0] = run(script.toString());
              return printed[0].contains(awaited);
            });
    return printed[0];
  }

  private static String run(String script) throws Exception {
    Process shell = new ProcessBuilder("bash", "-c", script).directory(root().toFile()).start();
    String printed = new String(shell.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    shell.waitFor();
    return printed;
  }

  private static Path root() {
    Path here = Path.of("").toAbsolutePath();
    return Files.exists(here.resolve("platform")) ? here : here.getParent();
  }

  /**
   * Guards against a request that is cut because the process stood still: the idle timeout of its
   * connection ran out meanwhile, and was acted upon before the bytes that had come were read.
   */
  @Test
  void requestsThatArriveWhileTheProcessIsSuspendedAreServed() throws Exception {
    process.destroyForcibly().waitFor();
    platform.configureIdleTimeout(IDLE_TIMEOUT);
    startProcess();
    assertThat(statuses(sendAtOnce())).containsOnly(200);
    signal("STOP");
    List<Call> sent = sendAtOnce();
    await().pollDelay(IDLE_TIMEOUT.multipliedBy(2)).until(() -> true);
    signal("CONT");
    List<Integer> statuses = statuses(sent);
    assertThat(Files.readAllLines(log())).noneMatch(line -> line.contains("CONNECTION_CUT"));
    assertThat(statuses).containsOnly(200);
  }

  private List<Call> sendAtOnce() {
    return IntStream.range(0, CONNECTIONS)
        .mapToObj(
            call ->
                client.send(callers, EmulatedPlatform.NON_IDEMPOTENT, 0, EmulatedClient.LONGEST))
        .toList();
  }

  private static List<Integer> statuses(List<Call> calls) throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (Call call : calls) {
      statuses.add(call.await().status());
    }
    return statuses;
  }

  @Test
  void terminationEndsTheProcessWithItsRequestsServed() throws Exception {
    signal("TERM");
    await().atMost(LONGEST).until(() -> logged("STOPPING"));
    assertThat(served()).isEqualTo(200);
    assertThat(process.waitFor()).isZero();
    assertThat(logged("STOPPED")).isTrue();
    assertThat(new File(log().toString())).isNotEmpty();
  }
}
