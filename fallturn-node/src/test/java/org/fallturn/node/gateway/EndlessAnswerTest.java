package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node whose memory a broken engine fills: the head, a failure's body or an event
 * of its answer goes on until the node closes the connection.
 */
class EndlessAnswerTest extends OneEngineTest {

  /** Far more than a node may keep of one answer, and than the sockets between hold. */
  private static final int ENDLESS_BYTES = 64 << 20;

  /** More than the sockets between hold; each interim answer costs many times its bytes. */
  private static final int INTERIM_BYTES = 16 << 20;

  private static final String PIECE = "X-A: " + "a".repeat(8_000) + "\r\n";

  private static final String CHUNKED_HEAD =
      "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n"
          + (OneEngineGateway.ID_HEADER + ": a\r\n\r\n");

  private String statusAfter(String begin) throws Exception {
    return statusAfter(begin, PIECE);
  }

  /** Sends a request, begins to answer it and goes on; returns the status line for the caller. */
  private String statusAfter(String begin, String piece) throws Exception {
    return statusAfter(begin, piece, ENDLESS_BYTES);
  }

  private String statusAfter(String begin, String piece, int bytes) throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "a", "", 0)) {
      await().atMost(LONGEST).until(() -> engine.got("a"));
      engine.connections().get(0).send(begin);
      assertThat(goesOn(piece, bytes)).as("the node reads on without end").isFalse();
      return OneEngineGateway.readStatus(caller);
    }
  }

  private boolean goesOn(String piece, int bytes) {
    try {
      for (int sent = 0; sent < bytes; sent += piece.length()) {
        engine.connections().get(0).send(piece);
      }
      return true;
    } catch (UncheckedIOException e) {
      return false;
    }
  }

  @Test
  void interimAnswersWithoutEndAreCut() throws Exception {
    String interim = "HTTP/1.1 102 Processing\r\nX-A: a\r\n\r\n".repeat(100);
    assertThat(statusAfter("", interim, INTERIM_BYTES)).isEqualTo("HTTP/1.1 502");
  }

  @Test
  void chunkExtensionWithoutEndIsCut() throws Exception {
    assertThat(statusAfter(CHUNKED_HEAD + "1;", "a".repeat(8_000))).isEqualTo("HTTP/1.1 502");
  }

  @Test
  void trailersWithoutEndAreCut() throws Exception {
    assertThat(statusAfter(CHUNKED_HEAD + "0\r\n")).isEqualTo("HTTP/1.1 502");
  }

  @Test
  void chunksOfOneByteWithLongExtensionsAreCut() throws Exception {
    String chunk = "1;" + "a".repeat(2_000) + "\r\na\r\n";
    assertThat(statusAfter(CHUNKED_HEAD, chunk)).isEqualTo("HTTP/1.1 502");
  }

  @Test
  void headWithoutEndIsCut() throws Exception {
    assertThat(statusAfter("HTTP/1.1 200 OK\r\n")).isEqualTo("HTTP/1.1 502");
  }

  @Test
  void failureWithoutEndIsCut() throws Exception {
    String begin = "HTTP/1.1 500 Failed\r\n" + OneEngineGateway.ID_HEADER + ": a\r\n\r\n";
    assertThat(statusAfter(begin)).isEqualTo("HTTP/1.1 502");
  }

  /** The stream is then broken off, as one whose engine has crashed. */
  @Test
  void eventWithoutEndIsFoundTooLong() {
    EventFramer framer = new EventFramer();
    byte[] piece = "data: endless".getBytes(StandardCharsets.US_ASCII);
    int added = 0;
    while (!framer.isEventTooLong()) {
      framer.add(ByteBuffer.wrap(piece));
      added += piece.length;
      assertThat(added).isLessThan(ENDLESS_BYTES);
    }
    assertThat(framer.hasPartialEvent()).isTrue();
  }
}
