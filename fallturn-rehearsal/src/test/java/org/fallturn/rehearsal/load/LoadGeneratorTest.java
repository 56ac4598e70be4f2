package org.fallturn.rehearsal.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.RouteHandler;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.DeterministicTokens;
import org.fallturn.rehearsal.load.ChatMessages.ChatAnswer;
import org.fallturn.rehearsal.load.ChatMessages.ChatRequest;
import org.fallturn.rehearsal.load.ChatMessages.Choice;
import org.fallturn.rehearsal.load.ChatMessages.Message;
import org.junit.jupiter.api.Test;

/** The generator must tell right answers from every kind of wrong one. */
class LoadGeneratorTest {

  private static final NetworkAddress ANY_PORT = new NetworkAddress("127.0.0.1", 0);

  private final JsonCodec codec = new JsonCodec();

  /** How the node under test spoils an answer. */
  private interface Spoiler {
    List<String> events(DeterministicTokens tokens, int length, String finish);
  }

  @Test
  void rightAnswersAreComplete() throws Exception {
    RunReport report =
        play(streams((tokens, length, finish) -> stream(tokens.tokens(0, length), finish)));
    assertThat(report.all().requests()).isPositive();
    assertThat(report.isClean()).as(report.toTable()).isTrue();
    assertThat(report.all().firstToken().count()).isEqualTo(report.all().requests());
  }

  @Test
  void answerOfAnotherRequestIsWrong() throws Exception {
    RunReport report =
        play(
            streams(
                (tokens, length, finish) ->
                    stream(new DeterministicTokens("other").tokens(0, length), finish)));
    assertThat(report.all().wrong()).isEqualTo(report.all().requests());
  }

  @Test
  void shortAnswerThatLooksWholeIsWrong() throws Exception {
    RunReport report =
        play(streams((tokens, length, finish) -> stream(tokens.tokens(0, length - 1), finish)));
    assertThat(report.all().wrong()).isEqualTo(report.all().requests());
  }

  @Test
  void streamWithoutItsEndMarkIsUnknown() throws Exception {
    RunReport report =
        play(
            streams(
                (tokens, length, finish) ->
                    stream(tokens.tokens(0, length), finish).subList(0, length)));
    assertThat(report.all().unknown()).isEqualTo(report.all().requests());
  }

  @Test
  void refusalIsNotRun() throws Exception {
    RunReport report =
        play(
            (request, response, callback) -> {
              throw new FallturnException(ErrorKind.LIMIT_REACHED, "too many");
            });
    assertThat(report.all().notRun()).isEqualTo(report.all().requests());
    assertThat(report.all().errors()).containsOnlyKeys(ErrorKind.LIMIT_REACHED);
  }

  private RunReport play(RouteHandler handler) throws Exception {
    HttpRouter router = new HttpRouter(codec).route("POST", "/v1/chat/completions", handler);
    LoadClass streaming = LoadClass.streaming("key", "chat", 100, 12, 20);
    try (HttpListener node = new HttpListener("node", ANY_PORT, 8, router);
        LoadGenerator generator =
            new LoadGenerator(
                LoadSettings.of(
                    List.of(node.address()), List.of(streaming), Duration.ofMillis(300), 1))) {
      return generator.run();
    }
  }

  private RouteHandler streams(Spoiler spoiler) {
    return (request, response, callback) -> answer(spoiler, request, response, callback);
  }

  private void answer(Spoiler spoiler, Request request, Response response, Callback callback)
      throws Exception {
    ChatRequest chat = codec.decode(HttpRouter.read(request, 1 << 20), ChatRequest.class);
    String prompt = ChatMessages.prompt(chat.messages().get(0).content());
    DeterministicTokens tokens = new DeterministicTokens(prompt);
    int length = tokens.length(chat.maxTokens());
    String finish = length < chat.maxTokens() ? "stop" : "length";
    String all = String.join("", spoiler.events(tokens, length, finish));
    response.write(true, ByteBuffer.wrap(all.getBytes(StandardCharsets.UTF_8)), callback);
  }

  private List<String> stream(List<String> tokens, String finish) {
    List<String> events = new java.util.ArrayList<>();
    for (int index = 0; index < tokens.size(); index++) {
      String reason = index == tokens.size() - 1 ? finish : null;
      Choice choice = new Choice(new Message("assistant", tokens.get(index)), null, reason);
      events.add("data: " + codec.encodeText(new ChatAnswer(List.of(choice), null)) + "\n\n");
    }
    events.add("data: [DONE]\n\n");
    return events;
  }
}
