package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import org.fallturn.node.gateway.GatewayServer;
import org.fallturn.rehearsal.emulator.EmulatedClient.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Engines answer with neither a length nor chunks, so that an answer ends with its connection. A
 * caller must get it whole, must be able to tell when it broke off, and must not get another answer
 * on a connection that has ended.
 */
class AnswerEndsWithConnectionTest {

  private static final int SHORT_PROMPT = 300;
  private static final int CALLS = 8;

  private EmulatedPlatform platform;
  private EmulatedClient client;
  private EmulatedEngine decoder;
  private EmulatedEngine application;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    decoder = platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode");
    application = platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    decoder.endAnswersWithConnection(true);
    application.endAnswersWithConnection(true);
    gateway = platform.addGateway();
    client = new EmulatedClient();
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  private Answer call(String path, int promptTokens) throws Exception {
    return client.call(gateway.callersAddress(), path, promptTokens);
  }

  @Test
  void wholeAnswersArriveWhole() throws Exception {
    for (int call = 0; call < CALLS; call++) {
      Answer stream = call(EmulatedPlatform.STREAM, SHORT_PROMPT);
      assertThat(stream.whole()).isTrue();
      assertThat(stream.body()).isEqualTo(EmulatedEngine.wholeStream());
      Answer whole = call(EmulatedPlatform.NON_IDEMPOTENT, 0);
      assertThat(whole.whole()).isTrue();
      assertThat(whole.body()).isEqualTo("answer of a-1");
    }
    assertThat(decoder.runs()).hasSize(CALLS);
  }

  @Test
  void streamThatEndsInsideAnEventIsBrokenOffForItsCallerToo() throws Exception {
    decoder.failNext(EngineFault.BREAK_MIDWAY);
    Answer broken = call(EmulatedPlatform.STREAM, SHORT_PROMPT);
    assertThat(broken.whole()).isFalse();
    assertThat(call(EmulatedPlatform.STREAM, SHORT_PROMPT).body())
        .isEqualTo(EmulatedEngine.wholeStream());
  }

  /** An engine that ends after the head of its answer has answered nothing. */
  @Test
  void streamWithoutAnyEventIsNoAnswer() throws Exception {
    decoder.failNext(EngineFault.HEAD_ONLY);
    Answer empty = call(EmulatedPlatform.STREAM, SHORT_PROMPT);
    assertThat(empty.status()).isEqualTo(502);
  }
}
