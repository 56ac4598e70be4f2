package org.fallturn.node.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that carries an id twice, against one that is closed though another
 * is open, and against a record of ids that grows without bound.
 */
class EngineDestinationTest {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(20);
  private static final int CONNECTIONS = 2;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final List<Boolean> closes = new CopyOnWriteArrayList<>();
  private volatile Optional<RuntimeException> failure = Optional.empty();
  private ServerSocket server;
  private HttpClient client;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
    client =
        PlainHttpClients.start(
            threads::execute,
            CONNECT_TIMEOUT,
            (owner, origin) ->
                new EngineDestination(
                    owner,
                    origin,
                    (id, connection, closed) -> {
                      failure.ifPresent(
                          thrown -> {
                            throw thrown;
                          });
                      closes.add(closed);
                    }),
            destination -> new DuplexConnectionPool(destination, CONNECTIONS));
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    server.close();
    threads.shutdownNow();
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = server.accept();
        accepted.add(connection);
        threads.execute(() -> answerAll(connection));
      }
    } catch (IOException e) {
      // The server was closed.
    }
  }

  private static void answerAll(Socket connection) {
    try {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.isEmpty()) {
          connection
              .getOutputStream()
              .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
        }
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private void send(String id) throws Exception {
    NetworkAddress address = new NetworkAddress("127.0.0.1", server.getLocalPort());
    int status = new UnalteredRequest(client, address, id, "/x").send().getStatus();
    assertThat(status).isEqualTo(200);
  }

  @Test
  void callsWithoutIdShareOneConnection() throws Exception {
    send("");
    send("");
    send("");
    assertThat(accepted).hasSize(1);
    assertThat(closes).isEmpty();
  }

  @Test
  void idThatComesAgainOpensAnotherConnectionBesideTheFirst() throws Exception {
    send("one");
    send("one");
    send("two");
    assertThat(accepted).hasSize(2);
    assertThat(closes).containsOnly(false);
  }

  @Test
  void connectionIsClosedOnlyOnceNoOtherIsToBeHad() throws Exception {
    send("one");
    send("one");
    send("one");
    assertThat(accepted).hasSize(CONNECTIONS + 1);
    assertThat(closes).containsOnlyOnce(true);
  }

  @Test
  void connectionIsReplacedOnceItsRecordIsFull() throws Exception {
    for (int number = 0; number < SentRequestIds.MAX_IDS; number++) {
      send("id-" + number);
    }
    assertThat(accepted).hasSize(1);
    send("further");
    assertThat(accepted).hasSize(2);
    assertThat(closes).isEmpty();
  }

  @Test
  void recordOfAConnectionEndsWithIt() throws Exception {
    send("one");
    EngineDestination destination = (EngineDestination) client.getDestinations().get(0);
    assertThat(destination.recorded()).isEqualTo(1);
    accepted.get(0).close();
    await().atMost(CONNECT_TIMEOUT).until(() -> destination.getConnectionPool().isEmpty());
    await().atMost(CONNECT_TIMEOUT).until(() -> destination.recorded() == 0);
  }

  @Test
  void failureWhileAConnectionIsPassedOverEndsTheRequestAndKeepsTheConnection() throws Exception {
    send("one");
    failure = Optional.of(new IllegalStateException("no memory is left"));
    assertThatThrownBy(() -> send("one")).isInstanceOf(ExecutionException.class);
    failure = Optional.empty();
    send("two");
    assertThat(accepted).hasSize(1);
  }
}
