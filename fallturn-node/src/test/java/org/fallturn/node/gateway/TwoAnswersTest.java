package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.dispatch.ErrorAnswer;
import org.fallturn.core.error.ErrorKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an answer made of two: the thread that relays an engine's answer and the one that
 * ends the request, since its time is over, begin at the same moment. The caller got the status of
 * one with the body of the other, or a closed connection in place of the answer.
 */
class TwoAnswersTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final ErrorAnswer TIME_OVER = ErrorAnswer.possiblyRun(ErrorKind.DEADLINE_EXCEEDED);
  private static final byte[] BODY = "ok".getBytes(StandardCharsets.UTF_8);

  private final HttpFields.Mutable headers = HttpFields.build();
  private final AtomicReference<Integer> status = new AtomicReference<>(0);
  private final AtomicReference<String> body = new AtomicReference<>();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private final CountDownLatch statusIsSet = new CountDownLatch(1);
  private final CountDownLatch goOn = new CountDownLatch(1);
  private final Exchange exchange =
      ExchangeStub.create(new HandlerArguments(request(), response(), Callback.NOOP), event -> {});

  @AfterEach
  void releaseAll() {
    goOn.countDown();
  }

  /** The first thread that sets the status is held there. */
  private Response response() {
    return ExchangeStub.stub(
        Response.class,
        (self, method, arguments) -> {
          switch (method.getName()) {
            case "setStatus" -> {
              status.set((int) arguments[0]);
              if (statusIsSet.getCount() > 0) {
                statusIsSet.countDown();
                goOn.await();
              }
            }
            case "getHeaders" -> {
              return headers;
            }
            case "write" -> {
              body.set(BufferUtil.toUTF8String((ByteBuffer) arguments[1]));
              ((Callback) arguments[2]).succeeded();
            }
            default -> {}
          }
          return null;
        });
  }

  private Request request() {
    EndPoint endPoint =
        ExchangeStub.stub(
            EndPoint.class,
            (self, method, arguments) -> {
              if (method.getName().equals("close")) {
                closed.complete(null);
              }
              return null;
            });
    Connection connection =
        ExchangeStub.stub(Connection.class, (self, method, arguments) -> endPoint);
    ConnectionMetaData metaData =
        ExchangeStub.stub(
            ConnectionMetaData.class,
            (self, method, arguments) ->
                method.getName().equals("getHttpVersion") ? HttpVersion.HTTP_1_1 : connection);
    return ExchangeStub.stub(Request.class, (self, method, arguments) -> metaData);
  }

  private void inBackground(Runnable answer) throws InterruptedException {
    Thread thread = new Thread(answer, "first-answer");
    thread.setDaemon(true);
    thread.start();
    statusIsSet.await();
  }

  private void relayAnswer() {
    exchange.answerWhole(null, HttpStatus.OK_200, HttpFields.build(), BODY);
  }

  private void assertAnswered(int expectedStatus, String expectedBody) {
    goOn.countDown();
    await().atMost(LONGEST).until(() -> body.get() != null);
    assertThat(status.get()).isEqualTo(expectedStatus);
    assertThat(body.get()).isEqualTo(expectedBody);
    assertThat(closed).isNotDone();
  }

  @Test
  void answerThatIsBeingRelayedIsNotCutByTheEndOfItsTime() throws Exception {
    inBackground(this::relayAnswer);
    exchange.refuse(TIME_OVER, "");
    assertAnswered(HttpStatus.OK_200, "ok");
  }

  @Test
  void refusalThatIsBeingWrittenGetsNoBodyOfAnEngine() throws Exception {
    inBackground(() -> exchange.refuse(TIME_OVER, ""));
    relayAnswer();
    assertAnswered(HttpStatus.GATEWAY_TIMEOUT_504, "");
  }

  @Test
  void refusalThatIsBeingWrittenGetsNoEvents() throws Exception {
    inBackground(() -> exchange.refuse(TIME_OVER, ""));
    exchange.beginStreamedAnswer(HttpStatus.OK_200, HttpFields.build());
    CompletableFuture<Boolean> written = new CompletableFuture<>();
    exchange.writePart(
        ByteBuffer.wrap(BODY),
        Optional.empty(),
        Callback.from(() -> written.complete(true), failure -> written.complete(false)));
    assertThat(written).isCompletedWithValue(false);
    assertAnswered(HttpStatus.GATEWAY_TIMEOUT_504, "");
  }
}
