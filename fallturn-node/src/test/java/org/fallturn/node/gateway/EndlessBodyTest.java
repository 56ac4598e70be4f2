package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against a caller that keeps a node reading for ever: what stands between the bytes of a
 * body does not end, so that no bound on bodies is reached.
 */
class EndlessBodyTest extends OneEngineTest {

  /** Far more than the node may read of it, and than the sockets between hold. */
  private static final int ENDLESS_BYTES = 64 << 20;

  private static final int LARGE_BODY_BYTES = 4 << 20;

  private static final String HEAD =
      "POST /x HTTP/1.1\r\nHost: host\r\n%s: a\r\nTransfer-Encoding: chunked\r\n\r\n"
          .formatted(OneEngineGateway.ID_HEADER);

  private boolean goesOn(String begin, String piece) throws IOException {
    NetworkAddress address = gateway.callersAddress();
    try (Socket caller = new Socket(address.host(), address.port())) {
      write(caller, HEAD + begin);
      for (int sent = 0; sent < ENDLESS_BYTES; sent += piece.length()) {
        write(caller, piece);
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void chunkExtensionWithoutEndIsCut() throws Exception {
    assertThat(goesOn("1;", "a".repeat(8_000))).isFalse();
    assertThat(engine.got("a")).isFalse();
  }

  @Test
  void chunksOfOneByteWithLongExtensionsAreCut() throws Exception {
    assertThat(goesOn("", "1;" + "a".repeat(2_000) + "\r\na\r\n")).isFalse();
    assertThat(engine.got("a")).isFalse();
  }

  /** Bodies are not taken for such bytes, nor the small chunks of a patient caller. */
  @Test
  void largeBodyInSmallChunksIsServed() throws Exception {
    NetworkAddress address = gateway.callersAddress();
    try (Socket caller = new Socket(address.host(), address.port())) {
      String chunks = "1\r\na\r\n".repeat(LARGE_BODY_BYTES / 16);
      write(caller, HEAD + chunks);
      write(
          caller,
          "%x\r\n%s\r\n0\r\n\r\n".formatted(LARGE_BODY_BYTES, "b".repeat(LARGE_BODY_BYTES)));
      await().atMost(LONGEST).until(() -> engine.answerIfCome("a"));
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
    }
  }
}
