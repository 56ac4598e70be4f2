package org.fallturn.node.callers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.fallturn.core.port.engine.EngineRefusal.Reason;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Completions over loopback against scripted engines. */
class CompletionsDoorTest {

  private static final int MORE_THAN_ALL_ATTEMPTS = 10;
  private static final String CHAT = "/v1/chat/completions";
  private static final Duration WAIT = Duration.ofSeconds(30);

  private DoorFixture fixture;
  private ScriptedEngine first;
  private ScriptedEngine second;

  @BeforeEach
  void open() throws Exception {
    fixture = new DoorFixture(null, Duration.ofSeconds(1));
    first = new ScriptedEngine("engine-1");
    second = new ScriptedEngine("engine-2");
    fixture.decoders.add(first.target());
    fixture.decoders.add(second.target());
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
    first.close();
    second.close();
  }

  private static String chat(String service, boolean stream, int maxTokens) {
    return "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"a b\"}],"
            .formatted(service)
        + "\"max_tokens\":%d,\"stream\":%b}".formatted(maxTokens, stream);
  }

  @Test
  void streamsAWholeAnswerThroughPrefillAndDecode() throws Exception {
    fixture.prefiller = Optional.of(second.target());
    HttpResponse<String> answer =
        fixture.post(CHAT, chat("assistant", true, 40), "X-Urgency", "emergency");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(DoorFixture.streamedText(answer.body())).isEqualTo(ScriptedEngine.text(40));
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    assertThat(second.prefilled).hasSize(1);
    assertThat(first.generated.get(0).kvSource().orElseThrow().kvHandle()).isEqualTo("kv");
    assertThat(first.generated.get(0).priority()).isEqualTo(Urgency.HIGH);
    assertThat(fixture.progress)
        .extracting("stage")
        .containsExactly(Stage.PREFILLED, Stage.COMPLETED);
    String id = answer.headers().firstValue("X-Request-Id").orElseThrow();
    assertThat(first.generated.get(0).requestId()).isEqualTo(new RequestId(id));
  }

  @Test
  void answersInOnePiece() throws Exception {
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant", false, 5));
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body())
        .contains("\"content\":\"" + ScriptedEngine.text(5) + "\"")
        .contains("\"completion_tokens\":5");
    HttpResponse<String> text =
        fixture.post(
            "/v1/completions", "{\"model\":\"assistant\",\"prompt\":\"a\",\"max_tokens\":2}");
    assertThat(text.body()).contains("\"text\":\" t0 t1\"");
  }

  @Test
  void listsTheModelsOfTheTenantOnly() throws Exception {
    HttpResponse<String> answer = fixture.send(fixture.request("/v1/models").GET());
    assertThat(answer.body()).contains("\"id\":\"assistant\"").doesNotContain("stock");
    HttpRequest.Builder stranger =
        HttpRequest.newBuilder(fixture.request("/v1/models").build().uri())
            .header("Authorization", "Bearer nobody");
    HttpResponse<String> refusal = fixture.send(stranger);
    assertThat(refusal.statusCode()).isEqualTo(401);
    assertThat(refusal.headers().firstValue("WWW-Authenticate")).hasValue("Bearer");
  }

  @Test
  void resumesAtTheOffsetWhenTheEngineCrashes() throws Exception {
    first.next((request, answer) -> answer.chunk(0, 7, Finish.NONE).crash());
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant", true, 20));
    assertThat(DoorFixture.streamedText(answer.body())).isEqualTo(ScriptedEngine.text(20));
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    assertThat(second.generated.get(0).startOffset()).isEqualTo(7);
    assertThat(fixture.placements.get(1).excluded()).containsExactly(first.target().engine());
  }

  @Test
  void crossedLateAndDoubledChunksNeverReachTheCaller() throws Exception {
    first.next(
        (request, answer) -> {
          answer.chunk(0, 4, Finish.NONE).chunk(2, 4, Finish.NONE).chunk(0, 4, Finish.NONE);
          answer.chunk(4, 6, Finish.NONE);
          answer.send(
              new TokenChunk(
                  new RequestId("of-another"), 6, List.of(" stolen"), TokenChunk.Finish.NONE));
          answer.chunk(6, 20, Finish.LENGTH).end();
        });
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant", true, 20));
    assertThat(DoorFixture.streamedText(answer.body())).isEqualTo(ScriptedEngine.text(20));
    assertThat(second.generated.get(0).startOffset()).isEqualTo(6);
    await().atMost(WAIT).until(() -> !first.cancelled.isEmpty());
  }

  @Test
  void aSilentEngineIsLeft() throws Exception {
    first.next((request, answer) -> answer.chunk(0, 3, Finish.NONE).hang());
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant", true, 10));
    assertThat(DoorFixture.streamedText(answer.body())).isEqualTo(ScriptedEngine.text(10));
  }

  @Test
  void aStreamThatMayNotBeRepeatedEndsInOutcomeUnknown() throws Exception {
    first.next((request, answer) -> answer.chunk(0, 3, Finish.NONE).crash());
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant-once", true, 10));
    assertThat(answer.body())
        .contains("event: error", "OUTCOME_UNKNOWN", "outcome-unknown")
        .doesNotContain("[DONE]");
    assertThat(second.generated).isEmpty();
  }

  @Test
  void aRefusalMovesAlsoWhatMayNotBeRepeated() throws Exception {
    first.next((request, answer) -> answer.refuse(Reason.FULL));
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant-once", true, 10));
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    assertThat(second.generated).hasSize(1);
  }

  @Test
  void notRunIsSaidWhenEveryEngineRefused() throws Exception {
    first.next((request, answer) -> answer.refuse(Reason.FULL));
    second.next((request, answer) -> answer.refuse(Reason.LEAVING));
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant", true, 10));
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).contains("3");
    assertThat(answer.body()).contains("NO_CAPACITY", "not-run");
  }

  @Test
  void workThatAnEngineBeganGoesOnOnceAnEngineHasRoomAgain() throws Exception {
    first.next((request, answer) -> answer.crash());
    second.next((request, answer) -> answer.refuse(Reason.FULL));
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant", true, 10));
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
  }

  @Test
  void notRunIsNotSaidOnceAnEngineSawTheRequest() throws Exception {
    first.next((request, answer) -> answer.crash());
    for (int attempt = 0; attempt < MORE_THAN_ALL_ATTEMPTS; attempt++) {
      first.next((request, answer) -> answer.refuse(Reason.FULL));
      second.next((request, answer) -> answer.refuse(Reason.FULL));
    }
    HttpResponse<String> answer = fixture.post(CHAT, chat("assistant", false, 10));
    assertThat(answer.statusCode()).isEqualTo(502);
    assertThat(answer.body()).contains("outcome-unknown");
    assertThat(answer.headers().firstValue("Retry-After")).contains("3");
  }

  @Test
  void theDeadlineEndsARequest() throws Exception {
    first.next((request, answer) -> answer.hang());
    second.next((request, answer) -> answer.hang());
    HttpResponse<String> answer =
        fixture.post(CHAT, chat("assistant", false, 10), "X-Deadline-Millis", "700");
    assertThat(answer.statusCode()).isEqualTo(504);
    assertThat(answer.body()).contains("DEADLINE_EXCEEDED");
    await()
        .atMost(WAIT)
        .until(() -> fixture.progress.stream().anyMatch(p -> p.stage() == Stage.ABANDONED));
  }

  @Test
  void aCallerThatGoesAwayCancelsItsWork() throws Exception {
    first.next(
        (request, answer) -> {
          for (int index = 0; index < request.maxTokens(); index++) {
            answer.chunk(index, index + 1, Finish.NONE);
          }
        });
    HttpRequest request =
        fixture
            .request(CHAT)
            .POST(HttpRequest.BodyPublishers.ofString(chat("assistant", true, 16_000)))
            .build();
    HttpResponse<InputStream> answer = fixture.caller().send(request, BodyHandlers.ofInputStream());
    answer.body().close();
    await().atMost(WAIT).until(() -> !first.cancelled.isEmpty());
    assertThat(fixture.progress).extracting("stage").containsExactly(Stage.ABANDONED);
    await().atMost(WAIT).until(() -> fixture.door.inFlight() == 0);
  }

  @Test
  void aStuckCallerHoldsUpItsOwnEngineStreamOnly() throws Exception {
    int tokens = 8_000;
    String large = "x".repeat(4_000);
    AtomicInteger written = new AtomicInteger();
    first.next(
        (request, answer) -> {
          for (int index = 0; index < tokens; index++) {
            boolean last = index + 1 == tokens;
            Finish finish = last ? Finish.LENGTH : Finish.NONE;
            answer.send(new TokenChunk(request.requestId(), index, List.of(large), finish));
            written.incrementAndGet();
          }
          answer.end();
        });
    String body = chat("assistant", true, tokens);
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(4 * 1024);
      socket.connect(
          new InetSocketAddress(fixture.door.address().host(), fixture.door.address().port()));
      String head =
          "POST %s HTTP/1.1\r\nHost: door\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n"
              .formatted(CHAT, DoorFixture.KEY, body.length());
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
      AtomicInteger before = new AtomicInteger(-1);
      await()
          .atMost(WAIT)
          .pollInterval(Duration.ofMillis(500))
          .until(() -> written.get() > 0 && before.getAndSet(written.get()) == written.get());
      assertThat(written.get()).isLessThan(tokens);
      HttpResponse<String> other = fixture.post(CHAT, chat("assistant", true, 50));
      assertThat(other.body()).endsWith("data: [DONE]\n\n");
      String all = new String(readUntilDone(socket.getInputStream()), StandardCharsets.UTF_8);
      long letters = all.chars().filter(letter -> letter == 'x').count();
      assertThat(letters).isGreaterThanOrEqualTo((long) tokens * large.length());
    }
    assertThat(fixture.placements).hasSize(2);
  }

  private static byte[] readUntilDone(InputStream stream) throws Exception {
    java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
    byte[] part = new byte[64 * 1024];
    int count = stream.read(part);
    while (count >= 0) {
      all.write(part, 0, count);
      if (new String(part, 0, count, StandardCharsets.UTF_8).contains("[DONE]")) {
        return all.toByteArray();
      }
      count = stream.read(part);
    }
    return all.toByteArray();
  }

  @Test
  void aBodyThatComesInDropsIsRefused() throws Exception {
    try (Socket socket = new Socket(fixture.door.address().host(), fixture.door.address().port())) {
      String head =
          "POST %s HTTP/1.1\r\nHost: door\r\nAuthorization: Bearer %s\r\nContent-Length: 9\r\n\r\n{"
              .formatted(CHAT, DoorFixture.KEY);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      byte[] start = socket.getInputStream().readNBytes(12);
      assertThat(new String(start, StandardCharsets.UTF_8)).isEqualTo("HTTP/1.1 400");
    }
  }

  @Test
  void aStoppingDoorRefusesNewWorkAndFinishesTheOld() throws Exception {
    java.util.concurrent.CountDownLatch goOn = new java.util.concurrent.CountDownLatch(1);
    first.next(
        (request, answer) -> {
          answer.chunk(0, 1, Finish.NONE);
          goOn.await();
          answer.chunk(1, 10, Finish.LENGTH).end();
        });
    HttpRequest request =
        fixture
            .request(CHAT)
            .POST(HttpRequest.BodyPublishers.ofString(chat("assistant", true, 10)))
            .build();
    var running = fixture.caller().sendAsync(request, BodyHandlers.ofString());
    await().atMost(WAIT).until(() -> !first.generated.isEmpty());
    fixture.door.beginDrain();
    HttpResponse<String> refused = fixture.post(CHAT, chat("assistant", true, 10));
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.body()).contains("STOPPING", "not-run");
    goOn.countDown();
    assertThat(DoorFixture.streamedText(running.get().body())).isEqualTo(ScriptedEngine.text(10));
  }

  @Test
  void malformedRequestsNameTheFault() throws Exception {
    assertThat(fixture.post(CHAT, "{").statusCode()).isEqualTo(400);
    assertThat(fixture.post(CHAT, "{\"model\":\"assistant\"}").body()).contains("messages");
    assertThat(fixture.post(CHAT, chat("assistant", true, 0)).body()).contains("max_tokens");
    assertThat(fixture.post(CHAT, chat("unknown", true, 1)).statusCode()).isEqualTo(404);
    assertThat(fixture.post(CHAT, chat("assistant", true, 1), "X-Urgency", "now").body())
        .contains("X-Urgency");
    assertThat(fixture.post(CHAT, "x".repeat(3 * 1024 * 1024)).statusCode()).isEqualTo(413);
  }
}
