package org.fallturn.rehearsal.load;

import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.error.Outcome;
import org.fallturn.node.engine.ServerSentEventParser;
import org.fallturn.node.http.ErrorBody;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.fallturn.rehearsal.application.ApplicationStandIn;
import org.fallturn.rehearsal.load.ChatMessages.ChatAnswer;
import org.fallturn.rehearsal.load.ChatMessages.ChatRequest;
import org.fallturn.rehearsal.load.ChatMessages.Choice;
import org.fallturn.rehearsal.load.ChatMessages.Message;

/**
 * Makes one call and checks its answer. A node that refuses the connection is passed over for the
 * next one, as nothing was sent. Each instance makes one call; its methods run on client threads,
 * one at a time.
 */
final class Caller {

  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final int MAX_ANSWER_BYTES = 1 << 22;
  private static final String DONE = "[DONE]";
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int OK = 200;

  private final HttpClient client;
  private final JsonCodec codec;
  private final LoadSettings settings;
  private final PlannedCall call;
  private final ClassStatistics statistics;
  private final long startNanos;
  private final Consumer<String> problems;
  private final Runnable whenEnded;
  private final AnswerCheck check;
  private final AtomicBoolean ended = new AtomicBoolean();
  private java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
  private ServerSentEventParser events;
  private long lastEventNanos;
  private boolean done;
  private ErrorBody.Detail error;
  private int attempt;

  Caller(
      HttpClient client,
      JsonCodec codec,
      LoadSettings settings,
      PlannedCall call,
      ClassStatistics statistics,
      long startNanos,
      Consumer<String> problems,
      Runnable whenEnded) {
    this.client = client;
    this.codec = codec;
    this.settings = settings;
    this.call = call;
    this.statistics = statistics;
    this.startNanos = startNanos;
    this.problems = problems;
    this.whenEnded = whenEnded;
    this.check =
        isApplication()
            ? null
            : new AnswerCheck(ChatMessages.prompt(call.content()), call.loadClass().maxTokens());
  }

  private boolean isApplication() {
    return call.loadClass().kind() == LoadClass.Kind.APPLICATION;
  }

  private boolean isStream() {
    return call.loadClass().kind() == LoadClass.Kind.STREAM;
  }

  /** Sends the request. */
  void send() {
    events =
        new ServerSentEventParser(
            MAX_EVENT_BYTES,
            (bytes, offset, length) -> event(Arrays.copyOfRange(bytes, offset, offset + length)));
    body = new java.io.ByteArrayOutputStream();
    Request request = client.newRequest("http://" + node() + path()).method("POST");
    Duration timeout = settings.answerTimeout();
    request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    request.headers(
        headers -> {
          headers.put(HttpHeader.AUTHORIZATION, "Bearer " + call.loadClass().apiKey());
          headers.put("X-Deadline-Millis", call.loadClass().deadlineMillis());
          headers.put("X-Urgency", call.loadClass().urgency().name());
          if (!call.loadClass().keyPrefix().isEmpty()) {
            headers.put("Idempotency-Key", call.key());
            headers.put(ApplicationStandIn.BUSINESS_KEY_HEADER, call.key());
          }
        });
    request.body(new BytesRequestContent(contentType(), requestBody()));
    request.onResponseContentAsync(this::content);
    request.send(this::complete);
  }

  private NetworkAddress node() {
    List<NetworkAddress> nodes = settings.nodes();
    return nodes.get((int) ((call.number() + attempt) % nodes.size()));
  }

  private String path() {
    return isApplication()
        ? "/services/" + call.loadClass().service() + "/orders/" + call.number()
        : "/v1/chat/completions";
  }

  private String contentType() {
    return isApplication() ? "text/plain" : "application/json";
  }

  private byte[] requestBody() {
    if (isApplication()) {
      return call.content().getBytes(StandardCharsets.UTF_8);
    }
    return codec.encode(
        new ChatRequest(
            call.loadClass().service().value(),
            List.of(new Message("user", call.content())),
            call.loadClass().maxTokens(),
            isStream()));
  }

  private void content(
      Response response, org.eclipse.jetty.io.Content.Chunk chunk, Runnable demander) {
    LoadClass.Reader reader = call.loadClass().reader();
    if (response.getStatus() == OK && reader == LoadClass.Reader.CANCELS) {
      response.abort(new InterruptedException("the caller goes away"));
      return;
    }
    if (response.getStatus() == OK && reader == LoadClass.Reader.STALLS) {
      return;
    }
    accept(response, chunk.getByteBuffer());
    demander.run();
  }

  private void accept(Response response, ByteBuffer bytes) {
    if (response.getStatus() == OK && isStream()) {
      try {
        events.accept(bytes);
      } catch (ServerSentEventParser.EventTooLongException e) {
        response.abort(e);
      }
      return;
    }
    if (body.size() == 0 && response.getStatus() == OK) {
      statistics.firstToken(System.nanoTime() - startNanos);
    }
    byte[] part = new byte[bytes.remaining()];
    bytes.get(part);
    body.writeBytes(part);
    if (body.size() > MAX_ANSWER_BYTES) {
      response.abort(new IllegalStateException("the answer is too long"));
    }
  }

  private void event(byte[] data) {
    if (new String(data, StandardCharsets.UTF_8).equals(DONE)) {
      done = true;
      return;
    }
    long now = System.nanoTime();
    if (check.hasText()) {
      statistics.betweenTokens(now - lastEventNanos);
    } else {
      statistics.firstToken(now - startNanos);
    }
    lastEventNanos = now;
    read(data, true);
  }

  private void read(byte[] data, boolean streamed) {
    try {
      ChatAnswer answer = codec.decode(data, ChatAnswer.class);
      if (answer.error() != null) {
        error = answer.error();
        return;
      }
      Choice choice = answer.choices().get(0);
      Message message = streamed ? choice.delta() : choice.message();
      check.text(message.content());
      check.finish(choice.finishReason());
    } catch (MalformedMessageException e) {
      problems.accept(call.loadClass().name() + ": " + e.getMessage());
    }
  }

  private void complete(Result result) {
    boolean refused = result.getFailure() instanceof ConnectException;
    if (refused && attempt + 1 < settings.nodes().size()) {
      attempt++;
      send();
      return;
    }
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    long nanos = System.nanoTime() - startNanos;
    CallEnd end = judge(result, refused, nanos);
    statistics.ended(end, nanos, check == null ? 0 : check.tokens());
    if (end == CallEnd.WRONG || end == CallEnd.UNKNOWN) {
      problems.accept(describe(end, result));
    }
    whenEnded.run();
  }

  private CallEnd judge(Result result, boolean refused, long nanos) {
    if (refused) {
      return CallEnd.NOT_RUN;
    }
    if (call.loadClass().reader() != LoadClass.Reader.READS
        && result.getResponse().getStatus() == OK) {
      return CallEnd.GIVEN_UP;
    }
    if (result.isFailed()) {
      return check != null && check.isWrong() ? CallEnd.WRONG : CallEnd.UNKNOWN;
    }
    if (result.getResponse().getStatus() != OK) {
      readError();
    } else if (call.loadClass().kind() == LoadClass.Kind.WHOLE) {
      read(body.toByteArray(), false);
      done = error == null;
    }
    if (error != null) {
      statistics.error(error.kind());
      boolean wrong = check != null && check.isWrong();
      boolean unrun = error.outcome() == Outcome.NOT_RUN && !wrong;
      return unrun ? CallEnd.NOT_RUN : wrong ? CallEnd.WRONG : CallEnd.UNKNOWN;
    }
    if (!isWhole()) {
      return check != null && !done && !check.isWrong() ? CallEnd.UNKNOWN : CallEnd.WRONG;
    }
    boolean inTime = nanos <= call.loadClass().deadlineMillis() * NANOS_PER_MILLI;
    return inTime ? CallEnd.IN_DEADLINE : CallEnd.LATE;
  }

  private void readError() {
    try {
      error = codec.decode(body.toByteArray(), ErrorBody.class).error();
    } catch (MalformedMessageException e) {
      problems.accept(call.loadClass().name() + ": " + e.getMessage());
    }
  }

  private boolean isWhole() {
    if (isApplication()) {
      String expected = ApplicationStandIn.answer("POST", path(), call.content());
      return expected.equals(body.toString(StandardCharsets.UTF_8));
    }
    return done && check.isWhole();
  }

  private String describe(CallEnd end, Result result) {
    return call.loadClass().name()
        + " request "
        + call.number()
        + " ended "
        + end
        + ", status "
        + (result.getResponse() == null ? 0 : result.getResponse().getStatus())
        + (error == null ? "" : ", " + error)
        + (check == null ? "" : ", " + check.progress())
        + (result.isFailed() ? ", " + result.getFailure() : "");
  }
}
