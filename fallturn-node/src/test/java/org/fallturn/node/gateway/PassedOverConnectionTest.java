package org.fallturn.node.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that waits in the HTTP client although a connection is free that may
 * carry it, or that may be replaced: the connection was held, and passed over, at the moment when
 * the request looked for one.
 */
class PassedOverConnectionTest {

  /** Longer than anything takes that happens at all, shorter than the connect timeout. */
  private static final Duration LONGEST = Duration.ofSeconds(10);

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(60);
  private static final int CONNECTIONS = 2;
  private static final int MAX_FILLERS = 64;
  private static final int FILLER_MILLIS = 300;
  private static final String AT_ONCE = "/at-once";
  private static final String HELD = "/held";
  private static final Runnable NOTHING = () -> {};

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> fillers = new ArrayList<>();
  private final Semaphore mayAccept = new Semaphore(0);
  private final AtomicInteger accepted = new AtomicInteger();
  private final AtomicBoolean lastCloses = new AtomicBoolean();
  private final CountDownLatch release = new CountDownLatch(1);
  private final AtomicReference<Runnable> onPassedOver = new AtomicReference<>(NOTHING);
  private ServerSocket server;
  private HttpClient client;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
    client =
        PlainHttpClients.start(
            threads::execute,
            CONNECT_TIMEOUT,
            (owner, origin) ->
                new EngineDestination(
                    owner,
                    origin,
                    (id, connection, closes) -> {
                      lastCloses.set(closes);
                      onPassedOver.getAndSet(NOTHING).run();
                    }),
            destination -> new BoundedConnectionPool(destination, CONNECTIONS, () -> CONNECTIONS));
  }

  @AfterEach
  void stop() throws Exception {
    release.countDown();
    client.stop();
    server.close();
    for (Socket filler : fillers) {
      filler.close();
    }
    threads.shutdownNow();
  }

  private void accept() {
    try {
      while (true) {
        mayAccept.acquire();
        Socket connection = server.accept();
        accepted.incrementAndGet();
        threads.execute(() -> answerAll(connection));
      }
    } catch (IOException | InterruptedException e) {
      // The test is over.
    }
  }

  private void answerAll(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
      boolean held = false;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        held |= line.contains(HELD);
        if (line.isEmpty()) {
          if (held) {
            release.await();
          }
          connection
              .getOutputStream()
              .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
        }
      }
    } catch (IOException | InterruptedException e) {
      // The client closed the connection, or the test is over.
    }
  }

  private Request request(String id, String path) {
    return new UnalteredRequest(
        client, new NetworkAddress("127.0.0.1", server.getLocalPort()), id, path);
  }

  private static CompletableFuture<Result> send(Request request) {
    CompletableFuture<Result> result = new CompletableFuture<>();
    request.send(result::complete);
    return result;
  }

  private static void assertAnswered(CompletableFuture<Result> result) throws Exception {
    assertThat(result.get(LONGEST.toSeconds(), TimeUnit.SECONDS).isSucceeded()).isTrue();
  }

  /** Opens two connections; the first has carried "one", the second "two". */
  private void openBoth() throws Exception {
    mayAccept.release(CONNECTIONS + 1);
    AtomicReference<CompletableFuture<Result>> second = new AtomicReference<>();
    Request first = request("one", AT_ONCE);
    first.onRequestBegin(begun -> second.set(send(request("two", AT_ONCE))));
    assertAnswered(send(first));
    assertAnswered(second.get());
  }

  /** Fills the queue of a server that accepts none, so that no further connection comes up. */
  private void fillQueue() throws Exception {
    for (int number = 0; number < MAX_FILLERS; number++) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()), FILLER_MILLIS);
      } catch (SocketTimeoutException e) {
        return;
      }
    }
    throw new IllegalStateException("the queue of the server has no end");
  }

  @Test
  void requestThatCameWhileTheOnlyFreeConnectionWasPassedOverGoesByIt() throws Exception {
    openBoth();
    CompletableFuture<Result> other = new CompletableFuture<>();
    Request again = request("one", HELD);
    again.onRequestBegin(begun -> request("other", AT_ONCE).send(other::complete));
    CompletableFuture<Result> held = send(again);
    assertAnswered(other);
    assertThat(held).isNotDone();
    assertThat(accepted).hasValue(CONNECTIONS);
  }

  @Test
  void connectionIsReplacedIfTheOtherFreeOneIsTakenMeanwhile() throws Exception {
    openBoth();
    AtomicReference<CompletableFuture<Result>> held = new AtomicReference<>();
    onPassedOver.set(() -> held.set(send(request("other", HELD))));
    assertAnswered(send(request("one", AT_ONCE)));
    assertThat(held.get()).isNotDone();
    assertThat(lastCloses).isTrue();
  }

  @Test
  void requestIsNotHeldUpByOneThatWaitsForANewConnection() throws Exception {
    mayAccept.release();
    assertAnswered(send(request("one", AT_ONCE)));
    fillQueue();
    CompletableFuture<Result> waits = send(request("one", AT_ONCE));
    assertAnswered(send(request("other", AT_ONCE)));
    assertThat(waits).isNotDone();
  }
}
