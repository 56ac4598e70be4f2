package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against an answer that is framed as whole though its engine stopped in the middle of its
 * head, or before the end that the head announces, and closed or reset the connection; sent
 * directly and through another node.
 */
class CutHeadTest extends OneEngineTest {

  private static final Duration POLL = Duration.ofMillis(2);
  private static final String ID = OneEngineGateway.ID_HEADER + ": %s\r\n";
  private static final String WITH_LENGTH =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + ID + "\r\nok";

  /** Ends where the size of the last chunk is not known yet; from then on the body is whole. */
  private static final String WITH_CHUNKS =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + ID + "\r\n2\r\nok\r\n0\r";

  private static final String WITHOUT_LENGTH =
      "HTTP/1.1 200 OK\r\nConnection: close\r\n" + ID + "\r\n";

  /** How an engine ends a connection. */
  private enum Cut {
    CLOSED,
    RESET
  }

  /** Cuts an answer before its end, behind each byte; nothing of it may reach the caller. */
  private void cutEverywhere(String answer, Cut cut, boolean forwarded) throws Exception {
    for (int bytes = 0; bytes < String.format(answer, "id-00").length(); bytes++) {
      String id = String.format("%s-%02d", cut == Cut.RESET ? "rs" : "cl", bytes);
      String sent = String.format(answer, id).substring(0, bytes);
      try (Socket caller =
          forwarded ? OneEngineGateway.forward(gateway, "e-1", id, "") : callerOf(id)) {
        cut(id, sent, cut);
        assertThat(OneEngineGateway.readStatus(caller)).as(sent).isEqualTo("HTTP/1.1 502");
      }
    }
  }

  private Socket callerOf(String id) throws IOException {
    return OneEngineGateway.send(gateway.callersAddress(), id, "", 0);
  }

  private void cut(String id, String sent, Cut cut) {
    await().pollInterval(POLL).atMost(LONGEST).until(() -> engine.got(id));
    RawEngine.Connection connection = engine.connectionOf(id);
    connection.send(sent);
    if (cut == Cut.RESET) {
      connection.reset();
    } else {
      connection.close();
    }
  }

  @Test
  void answerWithALengthIsNeverTakenForWhole() throws Exception {
    cutEverywhere(WITH_LENGTH, Cut.CLOSED, false);
    cutEverywhere(WITH_LENGTH, Cut.RESET, false);
  }

  @Test
  void answerInChunksIsNeverTakenForWhole() throws Exception {
    cutEverywhere(WITH_CHUNKS, Cut.CLOSED, false);
    cutEverywhere(WITH_CHUNKS, Cut.RESET, false);
  }

  @Test
  void headOfAnAnswerWithoutALengthIsNeverTakenForWhole() throws Exception {
    cutEverywhere(WITHOUT_LENGTH, Cut.CLOSED, false);
    cutEverywhere(WITHOUT_LENGTH, Cut.RESET, false);
  }

  @Test
  void headThatIsCutAtAnotherNodeIsNeverTakenForWhole() throws Exception {
    cutEverywhere(WITHOUT_LENGTH, Cut.CLOSED, true);
    cutEverywhere(WITHOUT_LENGTH, Cut.RESET, true);
  }
}
