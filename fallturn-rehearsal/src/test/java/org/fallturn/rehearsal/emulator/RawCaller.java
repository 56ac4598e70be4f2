package org.fallturn.rehearsal.emulator;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fallturn.core.domain.NetworkAddress;

/** A caller that sees the bytes of an answer as they come over one connection. */
final class RawCaller implements AutoCloseable {

  private static final Duration LONGEST = Duration.ofSeconds(15);

  private final Socket socket;

  RawCaller(NetworkAddress gateway) throws IOException {
    socket = new Socket(gateway.host(), gateway.port());
    socket.setSoTimeout((int) LONGEST.toMillis());
  }

  /** Sends the head of a request without a body; extra headers end in CRLF each. */
  void send(String requestId, String path, String extraHeaders) throws IOException {
    String head =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: "
            + EmulatedPlatform.HOST
            + "\r\nX-Fallturn-Request-Id: "
            + requestId
            + "\r\nX-Fallturn-Deadline-Ms: 4000\r\nX-Fallturn-Model: m"
            + "\r\nX-Fallturn-Token-Count: 300,80\r\n"
            + extraHeaders
            + "\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
  }

  /** Sends bytes as they are. */
  void sendPart(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** What comes up to the first occurrence of a text; fails when the connection ends before. */
  String readUntil(String end) throws IOException {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    while (!read.toString(StandardCharsets.US_ASCII).contains(end)) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new EOFException("the connection ended before \"" + end + "\"");
      }
      read.write(next);
    }
    return read.toString(StandardCharsets.US_ASCII);
  }

  /** Everything until the connection ends, in whatever way. */
  String readToEnd() {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    try {
      socket.getInputStream().transferTo(read);
    } catch (IOException e) {
      return read.toString(StandardCharsets.US_ASCII);
    }
    return read.toString(StandardCharsets.US_ASCII);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
