package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that counts as not sent though it reaches its engine, so that it is sent
 * again or its caller is told that it has not run. The HTTP client notes an abort first and carries
 * it out later; a request that begins in between is written, though it has a cause to end.
 */
class SendStateTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);

  private final SendState state = new SendState();
  private final CountDownLatch ended = new CountDownLatch(1);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ServerSocket engine;
  private HttpClient client;

  @BeforeEach
  void start() throws Exception {
    engine = new ServerSocket(0);
    engine.setSoTimeout((int) LONGEST.toMillis());
    client = PlainHttpClients.startForControl(threads);
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    threads.shutdownNow();
    engine.close();
  }

  private Request request() {
    return client.newRequest("http://127.0.0.1:" + engine.getLocalPort() + "/x");
  }

  /** Shows the request as it is between the two steps of an abort by another thread. */
  private static Request withCause(Request request, Throwable cause) {
    return with(request, "getAbortCause", () -> cause);
  }

  /** Shows a request that answers one method differently. */
  private static Request with(Request request, String name, Supplier<Object> answer) {
    return (Request)
        Proxy.newProxyInstance(
            Request.class.getClassLoader(),
            new Class<?>[] {Request.class},
            (self, method, arguments) ->
                method.getName().equals(name) ? answer.get() : method.invoke(request, arguments));
  }

  private static Object outOfMemory() {
    throw new OutOfMemoryError("as for the test");
  }

  /** The HTTP client logs what a listener throws, and sends the request all the same. */
  @Test
  void requestThatBeginsWhileMemoryIsUsedUpMayBeSent() throws Exception {
    request()
        .onRequestBegin(
            begun -> state.onBegin(with(begun, "getConnection", SendStateTest::outOfMemory)))
        .send(result -> ended.countDown());
    try (Socket connection = engine.accept()) {
      connection.setSoTimeout((int) LONGEST.toMillis());
      assertThat(connection.getInputStream().read()).isEqualTo('G');
      assertThat(state.maybeSent()).isTrue();
    }
  }

  @Test
  void requestThatBeginsWhileAnotherThreadAbortsItMayBeSent() throws Exception {
    request()
        .onRequestBegin(begun -> state.onBegin(withCause(begun, new CancellationException())))
        .send(result -> ended.countDown());
    try (Socket connection = engine.accept()) {
      connection.setSoTimeout((int) LONGEST.toMillis());
      assertThat(connection.getInputStream().read()).isEqualTo('G');
      assertThat(state.maybeSent()).isTrue();
    }
  }

  @Test
  void requestWhoseCheckFailsIsNotSent() throws Exception {
    request()
        .onRequestBegin(SendState.orAbort(begun -> outOfMemory()))
        .onRequestBegin(state)
        .send(result -> ended.countDown());
    assertThat(ended.await(LONGEST.toSeconds(), TimeUnit.SECONDS)).isTrue();
    try (Socket connection = engine.accept()) {
      connection.setSoTimeout((int) LONGEST.toMillis());
      assertThatThrownBy(() -> connection.getInputStream().read())
          .isInstanceOf(SocketException.class)
          .hasMessageContaining("reset");
    }
  }

  @Test
  void requestThatIsWithheldIsNotSent() throws Exception {
    request()
        .onRequestBegin(begun -> begun.abort(new EngineHeldBackException("e-1")))
        .onRequestBegin(state)
        .send(result -> ended.countDown());
    ended.await();
    assertThat(state.maybeSent()).isFalse();
    try (Socket connection = engine.accept()) {
      connection.setSoTimeout((int) LONGEST.toMillis());
      assertThatThrownBy(() -> connection.getInputStream().read())
          .isInstanceOf(SocketException.class)
          .hasMessageContaining("reset");
    }
  }
}
