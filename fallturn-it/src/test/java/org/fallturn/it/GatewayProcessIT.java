package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.platform.PlatformMain;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A gateway as a process of its own: settings file, signals, log lines and exit code. */
class GatewayProcessIT {

  private static final Duration LONGEST = Duration.ofSeconds(60);

  @TempDir private Path folder;
  private EmulatedPlatform platform;
  private EmulatedClient client;
  private Process process;
  private NetworkAddress callers;
  private int metricsPort;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    client = new EmulatedClient();
    callers = new NetworkAddress("127.0.0.1", freePort());
    metricsPort = freePort();
    writeSettings("grace = \"4s\"");
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                PlatformMain.class.getName(),
                settings().toString())
            .redirectErrorStream(true)
            .redirectOutput(log().toFile())
            .start();
    await().atMost(LONGEST).until(() -> served() == 200);
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

  @Test
  void figuresAreServedAsText() throws Exception {
    URL address = new URL("http://127.0.0.1:" + metricsPort + "/metrics");
    try (InputStream body = address.openStream()) {
      String text = new String(body.readAllBytes(), StandardCharsets.UTF_8);
      assertThat(text)
          .contains("fallturn_gateway_events_total{event=\"FINISHED\",detail=\"\"}")
          .contains("fallturn_gateway_whole_ms_count ")
          .contains("fallturn_gateway_engines 1\n");
    }
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
