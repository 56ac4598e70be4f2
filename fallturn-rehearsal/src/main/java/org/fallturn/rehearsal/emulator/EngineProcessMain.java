package org.fallturn.rehearsal.emulator;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * An application back end as a process of its own, on plain sockets. It prints each run before it
 * begins, so that whoever reads the output knows of the run even if the process is killed in it.
 */
public final class EngineProcessMain {

  private static final String RUN_LINE = "run %s %d %s %s%n";
  private static final String END_LINE = "end %s %d%n";

  private static final String REPORT = "{\"stage\":\"\",\"models\":[],\"busy\":false,\"queued\":0}";
  private static final String BODY = "a whole answer of an application";
  private static final String REQUEST_ID = "X-Fallturn-Request-Id";
  private static final int POLL_MILLIS = 5;
  private static final int SHORT_MILLIS = 80;
  private static final int LONG_MILLIS = 2_500;
  private static final int PERCENT = 100;
  private static final int LONG_PERCENT = 30;

  private final String id;
  private final boolean endsByResetOnly;

  private EngineProcessMain(String id, boolean endsByResetOnly) {
    this.id = id;
    this.endsByResetOnly = endsByResetOnly;
  }

  /** How it answers; each kind takes its share, in percent. */
  private enum Kind {
    WHOLE(55),
    END_UNMARKED(15),
    NOT_RUN(10),
    FAILURE(5),
    CLOSED(5),
    CUT_SHORT(10);

    private final int percent;

    Kind(int percent) {
      this.percent = percent;
    }

    static Kind draw(Random random) {
      int left = random.nextInt(PERCENT);
      for (Kind kind : values()) {
        left -= kind.percent;
        if (left < 0) {
          return kind;
        }
      }
      return WHOLE;
    }
  }

  /**
   * What it prints for the begin of a run: {@code run ID NANOS HOST LEFT}.
   *
   * @param host where it came from
   * @param millisLeft the time that the caller still waits, as the request says it
   */
  public static String runLine(String requestId, long nanos, String host, String millisLeft) {
    return String.format(Locale.ROOT, RUN_LINE, requestId, nanos, host, millisLeft);
  }

  /** What it prints for the end of a run: {@code end ID NANOS}. */
  public static String endLine(String requestId, long nanos) {
    return String.format(Locale.ROOT, END_LINE, requestId, nanos);
  }

  /**
   * Serves until it is killed.
   *
   * @param arguments id, port (0 for any), and whether only a reset ends the work on a request
   */
  public static void main(String[] arguments) throws IOException {
    EngineProcessMain engine =
        new EngineProcessMain(arguments[0], Boolean.parseBoolean(arguments[2]));
    try (ServerSocket server = new ServerSocket()) {
      server.setReuseAddress(true);
      server.bind(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[1])));
      System.out.println("listening 127.0.0.1:" + server.getLocalPort());
      while (true) {
        Socket connection = server.accept();
        new Thread(() -> engine.serve(connection), "connection").start();
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      Random random = new Random();
      InputStream in = new BufferedInputStream(connection.getInputStream());
      Map<String, String> head = readHead(in);
      while (!head.isEmpty() && answer(connection, in, head, random)) {
        connection.setSoTimeout(0);
        head = readHead(in);
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has ended the connection.
    }
  }

  /** Header values by lower-case name, and the target under an empty name; empty at the end. */
  private static Map<String, String> readHead(InputStream in) throws IOException {
    Map<String, String> head = new TreeMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(": ");
      if (head.isEmpty()) {
        head.put("", line.split(" ")[1]);
      } else if (colon > 0) {
        head.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 2));
      }
    }
    return head;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Whether the connection can be used again. */
  private boolean answer(Socket connection, InputStream in, Map<String, String> head, Random random)
      throws IOException, InterruptedException {
    in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0")));
    String requestId = head.getOrDefault(REQUEST_ID.toLowerCase(Locale.ROOT), "");
    String expected = head.getOrDefault("x-fallturn-expect-instance", id);
    if (!expected.equals(id)) {
      write(connection, notRun("421 Misdirected Request", requestId));
      return true;
    }
    if (head.get("").startsWith("/-/")) {
      write(connection, framed("200 OK", requestId, REPORT));
      return true;
    }
    Kind kind = Kind.draw(random);
    if (kind == Kind.NOT_RUN) {
      write(connection, notRun("503 Service Unavailable", requestId));
      return true;
    }
    boolean isLong = random.nextInt(PERCENT) < LONG_PERCENT;
    String host = connection.getInetAddress().getHostAddress();
    String millisLeft = head.getOrDefault("x-fallturn-deadline-ms", "0");
    System.out.print(runLine(requestId, System.nanoTime(), host, millisLeft));
    boolean done = work(connection, in, random.nextInt(isLong ? LONG_MILLIS : SHORT_MILLIS));
    System.out.print(endLine(requestId, System.nanoTime()));
    return done && end(connection, kind, requestId);
  }

  private boolean end(Socket connection, Kind kind, String requestId) throws IOException {
    String whole = framed("200 OK", requestId, BODY);
    switch (kind) {
      case END_UNMARKED -> write(connection, head("200 OK", requestId) + "\r\n" + BODY);
      case FAILURE -> write(connection, framed("500 Failed", requestId, "failed"));
      case CUT_SHORT -> write(connection, whole.substring(0, whole.length() - 1));
      case WHOLE -> write(connection, whole);
      default -> {
        return false;
      }
    }
    return kind == Kind.WHOLE || kind == Kind.FAILURE;
  }

  private String framed(String status, String requestId, String body) {
    return head(status, requestId) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private String notRun(String status, String requestId) {
    return head(status, requestId) + "X-Fallturn-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  private String head(String status, String requestId) {
    return "HTTP/1.1 %s\r\n%s: %s\r\nX-Fallturn-Response-Stamp: stamp-%s\r\n"
        .formatted(status, REQUEST_ID, requestId, id);
  }

  private static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Works until the time has passed or the connection has ended; whether to the end. */
  private boolean work(Socket connection, InputStream in, int millis)
      throws IOException, InterruptedException {
    connection.setSoTimeout(POLL_MILLIS);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() - until < 0) {
      in.mark(1);
      try {
        if (in.read() < 0 && !endsByResetOnly) {
          return false;
        }
        in.reset();
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      } catch (SocketTimeoutException e) {
        // Nothing has come, as is usual.
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }
}
