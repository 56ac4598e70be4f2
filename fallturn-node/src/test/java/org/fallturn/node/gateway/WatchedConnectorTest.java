package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a 408 answer to a caller that sent the whole head of its request at once, seen
 * once in some 600,000 requests on a busy machine. It happens when the process stalls between
 * reading the first bytes of a head and serving it, for longer than the head timeout but less than
 * a second, and the first check afterwards blames the caller for that time.
 */
class WatchedConnectorTest {

  private static final Duration HEAD_TIMEOUT = Duration.ofMillis(300);

  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(20);
  private static final int TRIES = 100;
  private static final int CALLERS = 8;

  private final Set<String> requests = ConcurrentHashMap.newKeySet();
  private final Queue<Runnable> checks = new ConcurrentLinkedQueue<>();
  private final CountDownLatch handling = new CountDownLatch(1);
  private volatile CountDownLatch served = new CountDownLatch(0);
  private Server server;
  private WatchedConnector connector;

  /** Scheduler that collects the checks, so that the test runs each when it wants to. */
  private final class ManualScheduler extends AbstractLifeCycle implements Scheduler {

    @Override
    public Task schedule(Runnable task, long delay, TimeUnit units) {
      if (units == TimeUnit.MILLISECONDS && delay == WatchedConnector.CHECK_MILLIS) {
        checks.add(task);
      }
      return () -> false;
    }
  }

  /** Answers a request when its head is complete. */
  private final class Answering extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      requests.add(request.getHttpURI().getPath());
      handling.countDown();
      served.await();
      Content.Source.asString(request);
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      return true;
    }
  }

  @BeforeEach
  void start() throws Exception {
    server = new Server(null, new ManualScheduler(), null);
    connector =
        new WatchedConnector(server, new HttpConnectionFactory(new HttpConfiguration()), cut -> {});
    connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
    connector.setHeadTimeout(HEAD_TIMEOUT);
    server.addConnector(connector);
    server.setHandler(new Answering());
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.stop();
  }

  private void check() {
    checks.remove().run();
  }

  private void restartHeadTimers() {
    connector.getConnectedEndPoints().forEach(e -> ((WatchedEndPoint) e).restartHeadTimer());
  }

  private Socket callerThatBegins(String path) throws Exception {
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort());
    String begin = "GET " + path + " HTTP/1.1\r\nHost: ";
    caller.getOutputStream().write(begin.getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  private Socket callerWhoseHeadHasBegun() throws Exception {
    Socket caller = callerThatBegins("/");
    awaitLateHeads(1, HEAD_TIMEOUT);
    return caller;
  }

  private void awaitLateHeads(int count, Duration timeout) {
    while (connector.getConnectedEndPoints().stream()
            .filter(e -> ((WatchedEndPoint) e).headTakesLongerThan(timeout.toNanos()))
            .count()
        < count) {
      Thread.onSpinWait();
    }
  }

  private static void sendRestOfHead(Socket caller) throws Exception {
    caller.getOutputStream().write("fleet\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  private static String readLine(Socket caller) throws Exception {
    return new BufferedReader(
            new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII))
        .readLine();
  }

  @Test
  void timeInWhichProcessStalledIsNotCountedAgainstCaller() throws Exception {
    try (Socket caller = callerWhoseHeadHasBegun()) {
      check();
      sendRestOfHead(caller);
      assertThat(readLine(caller)).startsWith("HTTP/1.1 200 ");
    }
  }

  /** Only the thread that read the head does not get to run; the checks go on. */
  @Test
  void headThatCameAndIsNotServedYetIsNotAnsweredWith408() throws Exception {
    served = new CountDownLatch(1);
    try (Socket caller = callerWhoseHeadHasBegun()) {
      sendRestOfHead(caller);
      handling.await();
      restartHeadTimers();
      long until = System.nanoTime() + 3 * HEAD_TIMEOUT.toNanos();
      while (System.nanoTime() - until < 0) {
        check();
      }
      served.countDown();
      assertThat(readLine(caller)).startsWith("HTTP/1.1 200 ");
    }
  }

  @Test
  void headThatIsStillArrivingAtEveryCheckIsAnsweredWith408() throws Exception {
    try (Socket caller = callerWhoseHeadHasBegun()) {
      while (caller.getInputStream().available() == 0) {
        check();
      }
      assertThat(readLine(caller)).startsWith("HTTP/1.1 408 ");
    }
  }

  /**
   * A 408 answer says that the request was not run. The rest of a head may arrive just when the
   * answer is decided on, and the request was then served as well.
   */
  @Test
  void requestWhoseHeadIsAnsweredWith408IsNotServed() throws Exception {
    connector.setHeadTimeout(SHORT_TIMEOUT);
    for (int attempt = 0; attempt < TRIES; attempt++) {
      List<Socket> callers = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        callers.add(callerThatBegins("/" + attempt + "/" + caller));
      }
      awaitLateHeads(CALLERS, SHORT_TIMEOUT);
      Thread checking = new Thread(this::check);
      checking.start();
      for (Socket caller : callers) {
        sendRestOfHead(caller);
      }
      checking.join();
      for (int caller = 0; caller < CALLERS; caller++) {
        try (Socket socket = callers.get(caller)) {
          if (readLine(socket).startsWith("HTTP/1.1 408 ")) {
            assertThat(requests).doesNotContain("/" + attempt + "/" + caller);
          }
        }
      }
    }
  }

  /** A later check, while the answer is still being written, must not let the server read again. */
  @Test
  void refusedRequestStaysRefused() throws Exception {
    try (Socket caller = callerWhoseHeadHasBegun()) {
      WatchedEndPoint endPoint =
          (WatchedEndPoint) connector.getConnectedEndPoints().iterator().next();
      assertThat(endPoint.refuseHead()).isTrue();
      sendRestOfHead(caller);
      while (endPoint.getChannel().socket().getInputStream().available() == 0) {
        Thread.onSpinWait();
      }
      assertThat(endPoint.refuseHead()).isFalse();
      assertThat(endPoint.fill(BufferUtil.allocate(1))).isZero();
    }
  }
}
