import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A client of the platform: one connection, kept between requests. */
final class Client implements AutoCloseable {

  /**
   * How a request ended.
   *
   * @param status status of the answer; 0 when none came
   * @param sent whether the request was sent whole
   */
  record Answer(String id, int status, boolean sent, Map<String, String> headers, byte[] body, String failure, long millis, long sentNanos) {
    boolean whole() {
      return status > 0 && failure.isEmpty();
    }
  }

  private final String ip;
  private final int port;
  private Socket socket;
  private InputStream in;
  boolean kept;

  Client(Gateway gateway) {
    this.ip = gateway.ip;
    this.port = gateway.front;
  }

  static String newId() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  private void connect() throws IOException {
    kept = socket != null;
    if (socket == null) {
      socket = new Socket();
      socket.connect(new InetSocketAddress(ip, port), 1_000);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }
  }

  Answer send(String method, String path, String more, byte[] body, int pauseMillis, int deadlineMillis) {
    String id = newId();
    boolean sent = false;
    long sentNanos = 0;
    long begun = System.nanoTime();
    int status = 0;
    Map<String, String> headers = Map.of();
    byte[] content = new byte[0];
    Thread guard = null;
    try {
      connect();
      Socket present = socket;
      guard = MiniServer.thread("guard", () -> closeAfter(present, deadlineMillis));
      socket.setSoTimeout(deadlineMillis);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + Config.HOST + "\r\nX-Fallturn-Request-Id: "
              + id + "\r\nX-Fallturn-Deadline-Ms: " + deadlineMillis + "\r\n" + more
              + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      int piece = 64 * 1024;
      for (int at = 0; at < body.length; at += piece) {
        socket.getOutputStream().write(body, at, Math.min(piece, body.length - at));
        if (pauseMillis > 0) {
          Thread.sleep(pauseMillis);
        }
      }
      sent = true;
      sentNanos = System.nanoTime();
      String line = MiniServer.firstLine(in);
      if (line == null) {
        throw new IOException("closed without an answer");
      }
      headers = MiniServer.headers(in);
      status = Integer.parseInt(line.split(" ")[1]);
      content = MiniServer.body(in, headers);
      if ("close".equalsIgnoreCase(headers.get("connection"))) {
        close();
      }
      return new Answer(id, status, true, headers, content, "", millis(begun), sentNanos);
    } catch (IOException | InterruptedException | RuntimeException e) {
      close();
      return new Answer(id, status, sent, headers, content, e.toString(), millis(begun), sentNanos);
    } finally {
      if (guard != null) {
        guard.interrupt();
      }
    }
  }

  /** The client leaves when its deadline has passed, counted from the beginning of the request. */
  private static void closeAfter(Socket socket, int millis) {
    try {
      Thread.sleep(millis);
      socket.close();
    } catch (InterruptedException | IOException e) {
      // Answered in time.
    }
  }

  private static long millis(long begun) {
    return (System.nanoTime() - begun) / 1_000_000;
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // Gone all the same.
    }
    socket = null;
  }
}
