package org.fallturn.rehearsal.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.port.engine.CancelRequest;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState.Activity;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.KvSource;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.RemoteCallException;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.DeterministicTokens;
import org.fallturn.rehearsal.engine.EngineJournal.End;
import org.fallturn.rehearsal.platform.PlatformSettings;
import org.fallturn.rehearsal.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineStandInTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final ModelName MODEL = new ModelName("m");
  private static final String PROMPT = "please ".repeat(40) + "summarise";

  private final JsonCodec codec = new JsonCodec();
  private final HttpClient http = new HttpClient();
  private EngineStandIn prefill;
  private EngineStandIn decode;
  private JsonHttpClient client;

  @BeforeEach
  void start() throws Exception {
    prefill = new EngineStandIn(EngineSettings.defaults("p", EngineRole.PREFILL, "m")).start();
    decode = new EngineStandIn(EngineSettings.defaults("d", EngineRole.DECODE, "m")).start();
    http.start();
    client = new JsonHttpClient(http, codec);
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
    prefill.close();
    decode.close();
  }

  @Test
  void answerAfterPrefillElsewhereIsWhole() throws Exception {
    PrefillAnswer kv = prefill("r1", "tenant");
    KvSource source = new KvSource(prefill.address(), kv.kvHandle());
    List<TokenChunk> chunks = generate("r1", 60, 0, Optional.of(source));
    assertThat(text(chunks)).isEqualTo(new DeterministicTokens(PROMPT).answer(60));
    assertThat(chunks.get(chunks.size() - 1).finish()).isNotEqualTo(Finish.NONE);
    assertThat(decode.journal().requests())
        .singleElement()
        .satisfies(entry -> assertThat(entry.cachedTokens()).isEqualTo(41))
        .satisfies(entry -> assertThat(entry.end()).isEqualTo(End.FINISHED));
  }

  @Test
  void lostKvIsComputedAgain() throws Exception {
    KvSource source = new KvSource(prefill.address(), "no-such-handle");
    List<TokenChunk> chunks = generate("r1", 20, 0, Optional.of(source));
    assertThat(text(chunks)).isEqualTo(new DeterministicTokens(PROMPT).answer(20));
  }

  @Test
  void resumedStreamContinuesAtTheOffset() throws Exception {
    String whole = text(generate("r1", 60, 0, Optional.empty()));
    List<TokenChunk> rest = generate("r1", 60, 25, Optional.empty());
    assertThat(rest.get(0).offset()).isEqualTo(25);
    String head = String.join("", new DeterministicTokens(PROMPT).tokens(0, 25));
    assertThat(head + text(rest)).isEqualTo(whole);
  }

  @Test
  void prefixCacheIsSharedWithinAScopeOnly() throws Exception {
    assertThat(prefill("r1", "a").cachedTokens()).isZero();
    assertThat(prefill("r2", "a").cachedTokens()).isEqualTo(32);
    assertThat(prefill("r3", "b").cachedTokens()).isZero();
  }

  @Test
  void orderNotAboveTheFenceHasNoEffect() throws Exception {
    assertThat(order(decode, 5, 1, new EngineCommand.RaiseFence()).accepted()).isTrue();
    OrderAnswer late = order(decode, 4, 9, new EngineCommand.ChangeRole(EngineRole.PREFILL));
    OrderAnswer twice = order(decode, 5, 1, new EngineCommand.ChangeRole(EngineRole.PREFILL));
    assertThat(late.accepted()).isFalse();
    assertThat(twice.accepted()).isFalse();
    assertThat(decode.state().role()).isEqualTo(EngineRole.DECODE);
    assertThat(decode.state().fence()).isEqualTo(new OrderNumber(new Epoch(5), 1));
    assertThat(decode.journal().orders())
        .extracting("executed")
        .containsExactly(true, false, false);
  }

  /**
   * An engine that serves while it changes its role would answer from the wrong weights. The engine
   * runs at the speed of a real one here: at twenty times that, a change lasts 200 ms, and a test
   * that stood still for as long found it over.
   */
  @Test
  void roleChangeTakesTheEngineAwayAndBack() throws Exception {
    EngineSettings settings = EngineSettings.defaults("d", EngineRole.DECODE, "m");
    try (EngineStandIn engine =
        new EngineStandIn(settings.withCosts(EngineCosts.DEFAULT, 1)).start()) {
      order(engine, 1, 1, new EngineCommand.ChangeRole(EngineRole.PREFILL));
      assertThat(engine.state().activity()).isEqualTo(Activity.CHANGING_ROLE);
      assertThatThrownBy(() -> prefillOn(engine, "r1", "a")).hasMessageContaining("503");
      await().atMost(TIMEOUT).until(() -> engine.state().activity() == Activity.SERVING);
      assertThat(prefillOn(engine, "r1", "a").promptTokens()).isEqualTo(41);
      assertThat(engine.journal().roleChangesStarted()).isOne();
    }
  }

  @Test
  void cancelledRequestLeavesTheBatch() throws Exception {
    var stream = http.newRequest("http://" + decode.address() + "/v1/generate").method("POST");
    stream.body(body(generateRequest("r1", 1_000_000, 0, Optional.empty())));
    stream.send(result -> {});
    await().atMost(TIMEOUT).until(() -> decode.state().running() == 1);
    post(decode, "/v1/cancel", new CancelRequest(new RequestId("r1")), CancelRequest.class);
    assertThat(decode.state().running()).isZero();
    assertThat(decode.journal().requests().get(0).end()).isEqualTo(End.CANCELLED);
  }

  @Test
  void crashedEngineRefusesOrdersForItsFormerIncarnation() throws Exception {
    long before = decode.state().incarnation();
    decode.crash(new CrashPlan(CrashPlan.Point.IN_ROLE_CHANGE, 0, 50));
    EngineCommand change = new EngineCommand.ChangeRole(EngineRole.PREFILL);
    sendWithoutAnswer(new EngineOrder(new OrderNumber(new Epoch(7), 2), before, change));
    await().atMost(TIMEOUT).until(() -> decode.state().incarnation() > before);
    assertThat(decode.state().role()).isEqualTo(EngineRole.DECODE);
    assertThat(decode.state().fence()).isEqualTo(OrderNumber.NONE);
    await()
        .atMost(TIMEOUT)
        .ignoreExceptions()
        .until(() -> !orderFor(decode, before, 7, 3, change).accepted());
    long any = EngineOrder.ANY_INCARNATION;
    assertThat(orderFor(decode, any, 8, 1, change).accepted()).isFalse();
    assertThat(orderFor(decode, any, 8, 1, new EngineCommand.RaiseFence()).accepted()).isTrue();
  }

  @Test
  void modelIsPulledFromThePlatform() throws Exception {
    try (PlatformStandIn platform = new PlatformStandIn(PlatformSettings.defaults()).start();
        EngineStandIn engine =
            new EngineStandIn(
                    EngineSettings.defaults("e", EngineRole.PREFILL, "other")
                        .withPlatform(platform.address()))
                .start()) {
      order(engine, 1, 1, new EngineCommand.LoadModel(MODEL, "v2"));
      assertThat(engine.state().activity()).isEqualTo(Activity.LOADING_MODEL);
      await().atMost(TIMEOUT).until(() -> engine.state().activity() == Activity.SERVING);
      assertThat(engine.state().modelVersion()).isEqualTo("v2");
      assertThat(prefillOn(engine, "r1", "a").promptTokens()).isEqualTo(41);
    }
  }

  private PrefillAnswer prefill(String requestId, String scope) throws RemoteCallException {
    return prefillOn(prefill, requestId, scope);
  }

  private PrefillAnswer prefillOn(EngineStandIn engine, String requestId, String scope)
      throws RemoteCallException {
    PrefillRequest request =
        new PrefillRequest(new RequestId(requestId), scope, MODEL, "", PROMPT, Urgency.NORMAL);
    return post(engine, "/v1/prefill", request, PrefillAnswer.class);
  }

  private static GenerateRequest generateRequest(
      String requestId, int maxTokens, int offset, Optional<KvSource> source) {
    return new GenerateRequest(
        new RequestId(requestId),
        "tenant",
        MODEL,
        "",
        PROMPT,
        maxTokens,
        offset,
        Urgency.NORMAL,
        source);
  }

  private List<TokenChunk> generate(
      String requestId, int maxTokens, int offset, Optional<KvSource> source) throws Exception {
    ContentResponse response =
        http.newRequest("http://" + decode.address() + "/v1/generate")
            .method("POST")
            .body(body(generateRequest(requestId, maxTokens, offset, source)))
            .send();
    assertThat(response.getStatus()).isEqualTo(200);
    List<TokenChunk> chunks = new ArrayList<>();
    for (String event : response.getContentAsString().split("\n\n")) {
      chunks.add(codec.decode(event.substring("data: ".length()), TokenChunk.class));
    }
    return chunks;
  }

  private static String text(List<TokenChunk> chunks) {
    StringBuilder text = new StringBuilder();
    int expected = chunks.get(0).offset();
    for (TokenChunk chunk : chunks) {
      assertThat(chunk.offset()).isEqualTo(expected);
      expected += chunk.tokens().size();
      chunk.tokens().forEach(text::append);
    }
    return text.toString();
  }

  private OrderAnswer order(EngineStandIn engine, long epoch, long sequence, EngineCommand command)
      throws RemoteCallException {
    long incarnation = engine.state().incarnation();
    return orderFor(engine, incarnation, epoch, sequence, command);
  }

  private OrderAnswer orderFor(
      EngineStandIn engine, long incarnation, long epoch, long sequence, EngineCommand command)
      throws RemoteCallException {
    OrderNumber number = new OrderNumber(new Epoch(epoch), sequence);
    EngineOrder order = new EngineOrder(number, incarnation, command);
    return post(engine, "/v1/orders", order, OrderAnswer.class);
  }

  /** The crash may come before or after the answer. */
  private void sendWithoutAnswer(EngineOrder order) {
    client
        .post(decode.address(), "/v1/orders", order, OrderAnswer.class, TIMEOUT)
        .handle((answer, failure) -> answer)
        .join();
  }

  private BytesRequestContent body(Object message) {
    return new BytesRequestContent("application/json", codec.encode(message));
  }

  private <A> A post(EngineStandIn engine, String path, Object body, Class<A> type)
      throws RemoteCallException {
    return JsonHttpClient.await(client.post(engine.address(), path, body, type, TIMEOUT));
  }
}
