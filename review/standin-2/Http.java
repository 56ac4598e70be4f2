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
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small blocking HTTP/1.1 implementation for the stand-ins of this review. */
final class Http {

  private Http() {}

  /** A message: the first line, the headers by lower-case name, and the body. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new TreeMap<>();
    byte[] body = new byte[0];

    /** Whether the body told its end, by a length or by a last chunk. */
    boolean endMarked;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("within a line");
      }
      if (next == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(next);
    }
  }

  /** Reads a message; null when the peer has closed its side before one. */
  static Message read(InputStream in, boolean answer) throws IOException {
    Message message = new Message();
    String first = line(in);
    if (first == null) {
      return null;
    }
    message.first = first;
    for (String text = line(in); !"".equals(text); text = line(in)) {
      if (text == null) {
        throw new EOFException("within a head");
      }
      int colon = text.indexOf(':');
      message.headers.put(
          text.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          text.substring(colon + 1).trim());
    }
    if (message.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("within the chunks");
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) {
          throw new EOFException("within a chunk");
        }
        body.write(chunk);
        line(in);
        if (length == 0) {
          break;
        }
      }
      message.body = body.toByteArray();
      message.endMarked = true;
    } else if (!message.header("content-length").isEmpty()) {
      int length = Integer.parseInt(message.header("content-length"));
      message.body = in.readNBytes(length);
      if (message.body.length < length) {
        throw new EOFException("within the body");
      }
      message.endMarked = true;
    } else if (answer) {
      message.body = in.readAllBytes();
    }
    return message;
  }

  /** Writes an answer with a length. */
  static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.write(body);
    out.write(all.toByteArray());
    out.flush();
  }

  /** Serves the requests of one connection. */
  interface Handler {
    /** Returns whether the connection stays open. */
    boolean handle(Message request, OutputStream out) throws Exception;
  }

  /** A listening server; each connection has a thread. */
  static final class Server implements AutoCloseable {
    final ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    Server(String host, Handler handler) throws IOException {
      this(host, 0, handler);
    }

    Server(String host, int port, Handler handler) throws IOException {
      this.handler = handler;
      socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
      daemon("accept", this::accept);
    }

    String address() {
      return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    private void accept() {
      while (!socket.isClosed()) {
        try {
          Socket connection = socket.accept();
          connection.setTcpNoDelay(true);
          open.add(connection);
          daemon("serve", () -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream(), 65_536);
        OutputStream out = connection.getOutputStream();
        boolean more = true;
        while (more) {
          Message request = read(in, false);
          more = request != null && handler.handle(request, out);
        }
      } catch (Exception e) {
        // The peer has gone.
      } finally {
        open.remove(connection);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      for (Socket connection : open) {
        connection.close();
      }
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Finds ports that are free on all of the hosts. */
  static List<Integer> freePorts(List<String> hosts, int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port;
      try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(hosts.get(0)))) {
        port = probe.getLocalPort();
      }
      boolean free = !ports.contains(port);
      for (String host : hosts) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
          free &= probe.isBound();
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        ports.add(port);
      }
    }
    return ports;
  }
}
