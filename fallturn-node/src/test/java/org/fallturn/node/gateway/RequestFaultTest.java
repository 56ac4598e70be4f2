package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that waits for its deadline since the dispatch thread failed on it: an
 * exception left it without a decision, and the requests behind it in the same step as well.
 */
class RequestFaultTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final String FAULT = "X-Fault";

  private RawEngine first;
  private RawEngine second;
  private GatewayServer gateway;

  /** How many sends of a request with the fault header still go well. */
  private volatile int goodSends;

  @BeforeEach
  void start() throws Exception {
    first = new RawEngine();
    second = new RawEngine();
    gateway = OneEngineGateway.start(RequestKind.IDEMPOTENT, this::failOnDemand, first, second);
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    first.close();
    second.close();
  }

  private HttpFields failOnDemand(HttpFields headers) {
    if (headers.contains(FAULT) && goodSends-- <= 0) {
      throw new IllegalStateException("thrown by a test");
    }
    return headers;
  }

  private Socket call(String id, String headers) throws Exception {
    return OneEngineGateway.send(gateway.callersAddress(), id, headers, 0);
  }

  private void assertOthersAreServed() throws Exception {
    try (Socket caller = call("sound", "")) {
      await()
          .atMost(LONGEST)
          .until(() -> first.answerIfCome("sound") || second.answerIfCome("sound"));
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
    }
    assertThat(gateway.ready()).isTrue();
    await().atMost(LONGEST).until(() -> gateway.inFlight() == 0);
  }

  @Test
  void requestThatCannotBePlacedIsAnsweredAtOnceAsNotRun() throws Exception {
    try (Socket caller = call("odd", FAULT + ": 1\r\n")) {
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 503");
    }
    assertOthersAreServed();
  }

  @Test
  void requestThatCannotBeSentOnIsAnsweredAtOnceAsPossiblyRun() throws Exception {
    goodSends = 1;
    try (Socket caller = call("odd", FAULT + ": 1\r\n")) {
      await().atMost(LONGEST).until(() -> first.got("odd") || second.got("odd"));
      RawEngine asked = first.got("odd") ? first : second;
      asked.connections().get(0).reset();
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 502");
    }
    assertOthersAreServed();
  }
}
