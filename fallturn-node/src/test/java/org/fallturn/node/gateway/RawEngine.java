package org.fallturn.node.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import org.fallturn.core.disconnect.EngineWork;
import org.fallturn.core.domain.NetworkAddress;

/**
 * An engine that keeps the bytes of each connection as they come, and answers only when the test
 * does, but for calls for its report. Thread-safe.
 */
final class RawEngine implements AutoCloseable {

  /** How it answers calls for its report. */
  static final String REPORT = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

  private final ServerSocket server = new ServerSocket();
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private final CountDownLatch reads;
  private final AtomicInteger reportsAsked = new AtomicInteger();
  private volatile String reportAnswer = REPORT;
  private volatile boolean refusing;

  /** An engine that reads whatever comes. */
  RawEngine() throws IOException {
    this(new CountDownLatch(0), 0);
  }

  /**
   * An engine that reads nothing at first.
   *
   * @param reads opened when it is to read
   * @param receiveBufferBytes what its connections hold meanwhile; 0 for the usual size
   */
  RawEngine(CountDownLatch reads, int receiveBufferBytes) throws IOException {
    this.reads = reads;
    if (receiveBufferBytes > 0) {
      server.setReceiveBufferSize(receiveBufferBytes);
    }
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    start(this::accept);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "raw-engine");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Connection connection = new Connection(server.accept());
        connections.add(connection);
        if (refusing) {
          // A thread that waits for a connection may get one although the server was closed.
          connection.close();
        }
        start(() -> read(connection));
      }
    } catch (IOException e) {
      // The engine was closed.
    }
  }

  private void read(Connection connection) {
    byte[] buffer = new byte[64 * 1024];
    try {
      reads.await();
      InputStream in = connection.socket.getInputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        connection.append(buffer, read);
        answerReport(connection, new String(buffer, 0, read, StandardCharsets.ISO_8859_1));
      }
    } catch (IOException | InterruptedException e) {
      // The node closed the connection.
    }
    connection.ended = true;
  }

  /** A call for its report comes in one piece, since it is short and has no body. */
  private void answerReport(Connection connection, String read) {
    if (!read.startsWith("GET " + OneEngineGateway.REPORT_PATH + " ")) {
      return;
    }
    reportsAsked.incrementAndGet();
    if (!connection.muted && !reportAnswer.isEmpty()) {
      connection.send(reportAnswer);
    }
  }

  /**
   * Answers calls for its report differently from now on.
   *
   * @param answer the whole answer; empty to stay silent
   */
  void answerReportsWith(String answer) {
    reportAnswer = answer;
  }

  /**
   * Names the requests that it works on in its reports from now on.
   *
   * @param unnamed number of further ones that it does not name
   */
  void reportWork(int unnamed, String... running) {
    String body = unnamed + " " + String.join(",", running);
    reportAnswer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Reads the body of its report; empty if it names no work. */
  static Optional<EngineWork> readWork(String body) {
    String[] words = body.split(" ", 2);
    return words.length < 2
        ? Optional.empty()
        : Optional.of(new EngineWork(Set.of(words[1].split(",")), Integer.parseInt(words[0])));
  }

  /** How often it was asked for its report. */
  int reportsAsked() {
    return reportsAsked.get();
  }

  /** Takes no further connections, as if its process had ended; open ones stay. */
  void refuseConnections() throws IOException {
    refusing = true;
    server.close();
  }

  NetworkAddress address() {
    return new NetworkAddress("127.0.0.1", server.getLocalPort());
  }

  /** The connections that were accepted, in order. */
  List<Connection> connections() {
    return connections;
  }

  /** The connection over which a request has come, the first if there are several. */
  Connection connectionOf(String requestId) {
    return connections.stream().filter(one -> one.got(requestId)).findFirst().orElseThrow();
  }

  /** How often a request has come, over all connections. */
  int timesGot(String requestId) {
    return connections.stream().mapToInt(one -> one.timesGot(requestId)).sum();
  }

  /** The connection over which a request has come, the newest if there are several. */
  Connection lastConnectionOf(String requestId) {
    return connections.stream()
        .filter(one -> one.got(requestId))
        .reduce((earlier, later) -> later)
        .orElseThrow();
  }

  /** Whether any part of the request has come. */
  boolean got(String requestId) {
    return connections.stream().anyMatch(one -> one.got(requestId));
  }

  /** Value of a header of a request that has come; empty when it lacks the header. */
  String headerOf(String requestId, String header) {
    return connectionOf(requestId).headerOf(requestId, header);
  }

  /** Request line of a request that has come. */
  String requestLineOf(String requestId) {
    return connectionOf(requestId).headOf(requestId)[0];
  }

  /**
   * Answers a request with a success, if it has come over a connection that the node has not
   * closed; whether it has.
   */
  boolean answerIfCome(String requestId) {
    for (Connection connection : connections) {
      if (connection.got(requestId) && connection.answerIfOpen(requestId)) {
        return true;
      }
    }
    return false;
  }

  @Override
  public void close() throws IOException {
    refuseConnections();
    for (Connection connection : connections) {
      connection.socket.close();
    }
  }

  /** One connection and what came over it. */
  static final class Connection {

    private final Socket socket;
    private final StringBuffer received = new StringBuffer();
    private volatile boolean ended;
    private volatile boolean muted;

    private Connection(Socket socket) {
      this.socket = socket;
    }

    private void append(byte[] bytes, int length) {
      received.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
    }

    boolean got(String requestId) {
      return timesGot(requestId) > 0;
    }

    /** How often a request has come over it. */
    int timesGot(String requestId) {
      String line = OneEngineGateway.ID_HEADER + ": " + requestId + "\r\n";
      return received.toString().split(Pattern.quote(line), -1).length - 1;
    }

    private String headerOf(String requestId, String header) {
      return Arrays.stream(headOf(requestId))
          .filter(line -> line.startsWith(header + ": "))
          .map(line -> line.substring(header.length() + 2))
          .findFirst()
          .orElse("");
    }

    /** The lines of the head of a request that has come; no request here has a body. */
    private String[] headOf(String requestId) {
      String text = received.toString();
      int id = text.indexOf(OneEngineGateway.ID_HEADER + ": " + requestId + "\r\n");
      int before = text.lastIndexOf("\r\n\r\n", id);
      int begin = before < 0 ? 0 : before + 4;
      return text.substring(begin, text.indexOf("\r\n\r\n", id)).split("\r\n");
    }

    /** Number of bytes that have come. */
    int bytes() {
      return received.length();
    }

    /** Whether the node has closed it. */
    boolean ended() {
      return ended;
    }

    /** Answers no calls for the engine's report over it from now on. */
    void mute() {
      muted = true;
    }

    /** Sends bytes as they are. */
    void send(String text) {
      try {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** As {@link #send}, unless the node has closed it meanwhile; whether it was sent. */
    boolean sendIfOpen(String text) {
      try {
        send(text);
        return true;
      } catch (UncheckedIOException e) {
        // The node has no use for the bytes.
        return false;
      }
    }

    /** Resets it; bytes that were sent before may be lost. */
    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Ends what it sends, and goes on to read nothing. */
    void shutDownOutput() {
      try {
        socket.shutdownOutput();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Closes it. */
    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Answers the request with a success. */
    void answer(String requestId) {
      send(success(requestId));
    }

    /** As {@link #answer}, unless the node has closed the connection; whether it was sent. */
    boolean answerIfOpen(String requestId) {
      return sendIfOpen(success(requestId));
    }

    private static String success(String requestId) {
      return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
          + OneEngineGateway.ID_HEADER
          + ": "
          + requestId
          + "\r\n\r\nok";
    }
  }
}
