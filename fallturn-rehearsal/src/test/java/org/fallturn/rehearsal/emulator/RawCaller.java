package org.fallturn.rehearsal.emulator;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fallturn.core.domain.NetworkAddress;

/** A caller that sees the bytes of an answer as they come over one connection. */
final class RawCaller implements AutoCloseable {

  private static final Duration LONGEST = Duration.ofSeconds(15);

  private final Socket socket;
  private final InputStream in;

  RawCaller(NetworkAddress gateway) throws IOException {
    socket = new Socket(gateway.host(), gateway.port());
    socket.setSoTimeout((int) LONGEST.toMillis());
    in = new BufferedInputStream(socket.getInputStream());
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
    StringBuilder read = new StringBuilder();
    while (read.indexOf(end, Math.max(0, read.length() - end.length())) < 0) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("the connection ended before \"" + end + "\"");
      }
      read.append((char) next);
    }
    return read.toString();
  }

  /** Everything until the connection ends, in whatever way. */
  String readToEnd() {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    try {
      in.transferTo(read);
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
