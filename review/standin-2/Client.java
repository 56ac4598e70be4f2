import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One client connection, kept for many requests and opened anew when it has ended. */
final class Client implements AutoCloseable {

  private final Gateway gateway;
  private Socket socket;
  private InputStream in;

  Client(Gateway gateway) {
    this.gateway = gateway;
  }

  /** Opens the connection if there is none. */
  void open() throws IOException {
    if (socket == null) {
      socket = gateway.connect();
      in = new BufferedInputStream(socket.getInputStream(), 65_536);
    }
  }

  /** Sends the head of a request. */
  void sendHead(
      String method, String path, String id, long deadlineMillis, Map<String, String> more, int body)
      throws IOException {
    open();
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    head.append("Host: ficu95.example\r\nX-Fallturn-Request-Id: ").append(id).append("\r\n");
    head.append("X-Fallturn-Deadline-Ms: ").append(deadlineMillis).append("\r\n");
    more.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body >= 0) {
      head.append("Content-Length: ").append(body).append("\r\n");
    }
    socket
        .getOutputStream()
        .write(head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII));
  }

  void sendBody(byte[] part, int length) throws IOException {
    socket.getOutputStream().write(part, 0, length);
  }

  /** Reads the answer; throws when the connection ends first. */
  Http.Message answer(int timeoutMillis) throws IOException {
    try {
      socket.setSoTimeout(timeoutMillis);
      Http.Message answer = Http.read(in, true);
      if (answer == null) {
        throw new SocketException("closed");
      }
      if (answer.header("connection").equalsIgnoreCase("close") || !answer.endMarked) {
        close();
      }
      return answer;
    } catch (SocketTimeoutException e) {
      close();
      throw e;
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  @Override
  public void close() throws IOException {
    if (socket != null) {
      socket.close();
      socket = null;
    }
  }
}
