package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against connections with bytes without end that keep all threads of a node: whoever has
 * more to read is read on, and the requests of others are not served.
 */
class EndlessAnswerBesideOthersTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);

  /** More connections than a node has threads. */
  private static final int ENGINES = 16;

  private static final int ENDLESS = 32;
  private static final String PIECE = "b".repeat(64 * 1024);

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "endless");
    thread.setDaemon(true);
    thread.start();
  }

  private static void sendWithoutEnd(RawEngine.Connection connection) {
    try {
      while (true) {
        connection.send(PIECE);
      }
    } catch (UncheckedIOException e) {
      // The node closed the connection.
    }
  }

  private static void readAll(Socket caller) {
    try {
      caller.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      // The node closed the connection.
    }
  }

  @Test
  void soundRequestIsServedBesideSuccessesWithoutEnd() throws Exception {
    List<RawEngine> engines = new ArrayList<>();
    for (int number = 0; number < ENGINES; number++) {
      engines.add(new RawEngine());
    }
    try (GatewayServer gateway =
        OneEngineGateway.start(
            RequestKind.NON_IDEMPOTENT, headers -> headers, engines.toArray(RawEngine[]::new))) {
      List<Socket> callers = new ArrayList<>();
      for (int number = 0; number < ENDLESS; number++) {
        Socket caller = OneEngineGateway.send(gateway.callersAddress(), "e-" + number, "", 0);
        callers.add(caller);
        startThread(() -> readAll(caller));
      }
      for (int number = 0; number < ENDLESS; number++) {
        String id = "e-" + number;
        await().atMost(LONGEST).until(() -> engines.stream().anyMatch(engine -> engine.got(id)));
        RawEngine.Connection connection =
            engines.stream().filter(e -> e.got(id)).findFirst().orElseThrow().connectionOf(id);
        connection.send(
            "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n".formatted(OneEngineGateway.ID_HEADER, id));
        startThread(() -> sendWithoutEnd(connection));
      }
      Socket caller = OneEngineGateway.send(gateway.callersAddress(), "sound", "", 0);
      await()
          .atMost(LONGEST)
          .until(() -> engines.stream().anyMatch(engine -> engine.answerIfCome("sound")));
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
      caller.close();
      for (Socket endless : callers) {
        endless.close();
      }
    } finally {
      for (RawEngine engine : engines) {
        engine.close();
      }
    }
  }
}
