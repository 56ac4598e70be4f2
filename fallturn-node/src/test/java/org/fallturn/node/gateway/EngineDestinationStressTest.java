package org.fallturn.node.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that carries an id twice, and against a request that never ends,
 * while few ids come again and again, connections break and their bound changes.
 *
 * <p>{@code -Ddestination.seconds=60} looks for longer.
 */
class EngineDestinationStressTest {

  private static final int SECONDS = Integer.getInteger("destination.seconds", 3);
  private static final long SEED = 111;
  private static final int CALLERS = 16;
  private static final int IDS = 6;
  private static final int MAX_CONNECTIONS = 4;
  private static final int RESET_PERCENT = 3;
  private static final int CLOSE_PERCENT = 3;
  private static final int SLOW_PERCENT = 3;
  private static final int MAX_SLOW_MILLIS = 2_000;
  private static final int MAX_PAUSE_MILLIS = 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(20);

  /** Longer than a request of each caller takes, one after another. */
  private static final Duration LONGEST = Duration.ofSeconds(60);

  private static final int BOUND_HOLDS_MILLIS = 500;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Queue<String> faults = new ConcurrentLinkedQueue<>();
  private final AtomicInteger bound = new AtomicInteger(MAX_CONNECTIONS);
  private final AtomicInteger repeated = new AtomicInteger();
  private final AtomicInteger accepted = new AtomicInteger();
  private ServerSocket server;
  private HttpClient client;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
    client =
        PlainHttpClients.start(
            threads::execute,
            CONNECT_TIMEOUT,
            (owner, origin) ->
                new EngineDestination(
                    owner, origin, (id, connection, closes) -> repeated.incrementAndGet()),
            destination -> new BoundedConnectionPool(destination, MAX_CONNECTIONS, bound::get));
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
        int number = accepted.incrementAndGet();
        threads.execute(() -> answerAll(connection, new Random(SEED + number)));
      }
    } catch (IOException e) {
      // The test is over.
    }
  }

  private void answerAll(Socket connection, Random random) {
    Set<String> got = new HashSet<>();
    try (connection) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
      String request = in.readLine();
      while (request != null) {
        while (!in.readLine().isEmpty()) {
          // Nothing else of the head matters.
        }
        if (!got.add(request)) {
          faults.add("twice over one connection: " + request);
        }
        if (!answer(connection, random)) {
          return;
        }
        request = in.readLine();
      }
    } catch (IOException | InterruptedException | NullPointerException e) {
      // The connection has ended.
    }
  }

  /** Answers a request; returns whether the connection goes on. */
  private static boolean answer(Socket connection, Random random)
      throws IOException, InterruptedException {
    int draw = random.nextInt(100);
    if (draw < RESET_PERCENT) {
      connection.setSoLinger(true, 0);
      return false;
    }
    boolean slow = draw < RESET_PERCENT + SLOW_PERCENT;
    Thread.sleep(random.nextInt(slow ? MAX_SLOW_MILLIS : 2));
    connection
        .getOutputStream()
        .write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
    return random.nextInt(100) >= CLOSE_PERCENT;
  }

  private void call(Random random, long endNanos) throws Exception {
    NetworkAddress address = new NetworkAddress("127.0.0.1", server.getLocalPort());
    while (System.nanoTime() - endNanos < 0) {
      String id = "id-" + random.nextInt(IDS);
      CompletableFuture<Result> result = new CompletableFuture<>();
      Request request = new UnalteredRequest(client, address, id, "/" + id);
      request.send(result::complete);
      try {
        result.get(LONGEST.toSeconds(), TimeUnit.SECONDS);
      } catch (TimeoutException e) {
        faults.add("never ended: " + id);
      }
      Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  private void changeBound(Random random, long endNanos) throws InterruptedException {
    while (System.nanoTime() - endNanos < 0) {
      Thread.sleep(BOUND_HOLDS_MILLIS);
      bound.set(1 + random.nextInt(MAX_CONNECTIONS));
    }
  }

  @Test
  void noIdGoesTwiceOverAConnectionAndEachRequestEnds() throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
    List<Future<?>> callers = new ArrayList<>();
    for (int number = 0; number < CALLERS; number++) {
      Random random = new Random(SEED + number);
      callers.add(
          threads.submit(
              () -> {
                call(random, endNanos);
                return null;
              }));
    }
    changeBound(new Random(SEED), endNanos);
    for (Future<?> caller : callers) {
      caller.get();
    }
    assertThat(faults).isEmpty();
    assertThat(repeated).hasPositiveValue();
  }
}
