import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server on a loopback address: one thread a connection, one request at a time. */
final class MiniServer implements AutoCloseable {

  /** A request that was read whole. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String query(String name) {
      int mark = target.indexOf('?');
      if (mark < 0) {
        return null;
      }
      for (String pair : target.substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0 && pair.substring(0, equals).equals(name)) {
          return java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
        }
      }
      return null;
    }

    String path() {
      int mark = target.indexOf('?');
      return mark < 0 ? target : target.substring(0, mark);
    }
  }

  /** One connection, as a handler sees it. */
  static final class Connection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
      this.out = socket.getOutputStream();
    }

    void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      all.writeBytes(body);
      out.write(all.toByteArray());
      out.flush();
    }

    /** Begins an answer in chunks. */
    void begin(int status, Map<String, String> headers) throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Transfer-Encoding: chunked\r\n\r\n");
      out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void chunk(byte[] bytes) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      all.writeBytes(bytes);
      all.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
      out.write(all.toByteArray());
      out.flush();
    }

    void end() throws IOException {
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }
  }

  interface Handler {
    void handle(Request request, Connection connection) throws Exception;
  }

  private final ServerSocket listener;
  private final Handler handler;
  private volatile boolean closed;
  private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

  MiniServer(Handler handler) throws IOException {
    this(0, handler);
  }

  MiniServer(int port, Handler handler) throws IOException {
    this.handler = handler;
    this.listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
    thread("accept-" + port(), this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  static Thread thread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        thread("connection", () -> serve(socket));
      } catch (IOException e) {
        if (closed) {
          return;
        }
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Connection connection = new Connection(socket);
      while (!closed) {
        Request request = read(connection.in);
        if (request == null) {
          return;
        }
        handler.handle(request, connection);
        if (socket.isClosed()) {
          return;
        }
      }
    } catch (Exception e) {
      // The peer left or the handler ended the connection.
    } finally {
      open.remove(socket);
    }
  }

  /** Closes all connections; new ones are accepted. */
  void closeConnections() {
    for (Socket socket : open) {
      try {
        socket.close();
      } catch (IOException e) {
        // Closed all the same.
      }
    }
  }

  /** Closes the listener and all connections. */
  @Override
  public void close() {
    closed = true;
    try {
      listener.close();
      for (Socket socket : open) {
        socket.close();
      }
    } catch (IOException e) {
      // Closed all the same.
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int last = -1;
    while (true) {
      int next = in.read();
      if (next < 0) {
        return bytes.size() == 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1);
      }
      if (next == '\n' && last == '\r') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.substring(0, text.length() - 1);
      }
      bytes.write(next);
      last = next;
    }
  }

  static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String text = line(in);
      if (text == null) {
        throw new EOFException("within a head");
      }
      if (text.isEmpty()) {
        return headers;
      }
      int colon = text.indexOf(':');
      headers.put(
          text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
    }
  }

  static String firstLine(InputStream in) throws IOException {
    return line(in);
  }

  private static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    String[] words = first.split(" ");
    Map<String, String> headers = headers(in);
    return new Request(words[0], words[1], headers, body(in, headers));
  }

  static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("within chunks");
        }
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
          throw new EOFException("within a chunk");
        }
        all.writeBytes(bytes);
        line(in);
        if (length == 0) {
          return all.toByteArray();
        }
      }
    }
    String length = headers.get("content-length");
    if (length == null) {
      return new byte[0];
    }
    byte[] bytes = in.readNBytes(Integer.parseInt(length));
    if (bytes.length < Integer.parseInt(length)) {
      throw new EOFException("within a body");
    }
    return bytes;
  }
}
