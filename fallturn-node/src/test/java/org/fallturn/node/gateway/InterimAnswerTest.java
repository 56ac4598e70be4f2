package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a caller that gets no answer until its deadline: the engine sends an interim
 * answer (1xx) and closes the connection before the end of the final head, which the HTTP client
 * does not notice.
 */
class InterimAnswerTest extends OneEngineTest {

  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
  private static final String FINAL =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + OneEngineGateway.ID_HEADER + ": r\r\n\r\nok";

  /** Returns the status of the answer when the engine has sent these bytes and closed. */
  private String statusAfter(String bytes) throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "r", "", 0)) {
      await().atMost(LONGEST).until(() -> engine.got("r"));
      engine.connections().get(0).send(bytes);
      engine.connections().get(0).close();
      return OneEngineGateway.readStatus(caller);
    }
  }

  @Test
  void finalAnswerBehindAnInterimOneIsPassedOn() throws Exception {
    assertThat(statusAfter(INTERIM + FINAL)).isEqualTo("HTTP/1.1 200");
    assertThat(engine.connections()).hasSize(1);
  }

  @Test
  void interimAnswersOfAllKindsAreSkipped() throws Exception {
    String processing = "HTTP/1.1 102 Processing\r\n\r\n";
    String unknown = "HTTP/1.1 142 Unknown\r\n\r\n";
    String proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    assertThat(statusAfter(INTERIM + processing + INTERIM + unknown + proceed + FINAL))
        .isEqualTo("HTTP/1.1 200");
  }

  /** Something is kept for each of them; no sound engine sends so many. */
  @Test
  void moreInterimAnswersThanAnyEngineSendsEndTheRequest() throws Exception {
    assertThat(statusAfter(INTERIM.repeat(1_000) + FINAL)).isEqualTo("HTTP/1.1 502");
  }

  @Test
  void switchOfProtocolsIsNoAnswer() throws Exception {
    assertThat(statusAfter("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nbytes"))
        .isEqualTo("HTTP/1.1 502");
  }

  /** Number of bytes of the final answer that come before the close. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 14, 17, 25, 36, 40})
  void closeBehindAnInterimAnswerIsNoticed(int bytes) throws Exception {
    assertThat(statusAfter(INTERIM + FINAL.substring(0, bytes))).isEqualTo("HTTP/1.1 502");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 14, 17, 25, 36, 40})
  void closeWithinAHeadIsNoticed(int bytes) throws Exception {
    assertThat(statusAfter(FINAL.substring(0, bytes))).isEqualTo("HTTP/1.1 502");
  }

  /** Number of bytes of the interim answer that come before the close. */
  @ParameterizedTest
  @ValueSource(ints = {1, 14, 30, 40})
  void closeWithinAnInterimAnswerIsNoticed(int bytes) throws Exception {
    assertThat(statusAfter(INTERIM.substring(0, bytes))).isEqualTo("HTTP/1.1 502");
  }
}
