package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A stream that broke off must not look whole, however the caller's connection was to end. */
class BrokenStreamTest {

  private static final String LAST_CHUNK = "0\r\n\r\n";

  private EmulatedPlatform platform;
  private EmulatedEngine engine;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    engine = platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode");
    gateway = platform.addGateway();
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  private String answer(String path, String extraHeaders) throws Exception {
    try (RawCaller caller = new RawCaller(gateway.callersAddress())) {
      caller.send("request-1", path, extraHeaders);
      return caller.readToEnd();
    }
  }

  @Test
  void wholeStreamOverAConnectionThatClosesEndsWithItsLastChunk() throws Exception {
    String answer = answer(EmulatedPlatform.STREAM, "Connection: close\r\n");
    assertThat(answer).contains("Transfer-Encoding: chunked", "piece-4").endsWith(LAST_CHUNK);
  }

  @Test
  void brokenStreamOverAConnectionThatClosesHasNoEnd() throws Exception {
    engine.misbehave(EngineFault.BREAK_MIDWAY);
    String answer = answer(EmulatedPlatform.STREAM, "Connection: close\r\n");
    assertThat(answer).contains("Transfer-Encoding: chunked", "piece-1").doesNotEndWith(LAST_CHUNK);
  }
}
