package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;

/** Answers that an engine writes to a connection as bytes, since they are not well-formed. */
final class RawAnswers {

  private static final String FIELDS = "%s: %s\r\n%s: %s%s\r\n";
  private static final String HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n";

  private RawAnswers() {}

  /** Sends the first bytes of an answer without a length; its connection will be reset. */
  static void beginWithoutLength(EndPoint connection, String requestId, String engineId)
      throws IOException {
    String answer = HEAD_WITHOUT_LENGTH + fields(requestId, engineId) + "\r\nans";
    Blocking.write(connection, answer.getBytes(StandardCharsets.UTF_8));
  }

  /** Makes the end of a connection a reset. */
  static void resetAtEnd(EndPoint connection) throws IOException {
    SocketChannel channel = (SocketChannel) connection.getTransport();
    channel.setOption(StandardSocketOptions.SO_LINGER, 0);
  }

  /** Sends bytes that are no answer until the connection ends. */
  static void sendWithoutEnd(EndPoint connection, String requestId, String engineId) {
    EndlessAnswer.of(requestId.hashCode())
        .send(fields(requestId, engineId), bytes -> Blocking.write(connection, bytes));
  }

  private static String fields(String requestId, String engineId) {
    return FIELDS.formatted(
        EmulatedEngine.REQUEST_ID,
        requestId,
        EmulatedEngine.STAMP,
        EmulatedEngine.STAMP_PREFIX,
        engineId);
  }
}
