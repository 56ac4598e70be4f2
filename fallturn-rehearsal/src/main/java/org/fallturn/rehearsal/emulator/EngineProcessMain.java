package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Semaphore;

/**
 * An application back end as a process of its own, on plain sockets. It prints each run before it
 * begins, so that whoever reads the output knows of the run even if the process is killed in it.
 */
public final class EngineProcessMain {

  private static final String RUN_LINE = "run %s %d %s %s %s%n";
  private static final String END_LINE = "end %s %d%n";

  private static final String REPORT = "{\"stage\":\"\",\"models\":[],\"busy\":false,\"queued\":0}";
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n";
  private static final String BODY = "a whole answer of an application";
  private static final int SHORT_MILLIS = 80;
  private static final int LONG_MILLIS = 2_500;
  private static final int PERCENT = 100;
  private static final int LONG_PERCENT = 30;

  /** Argument of a back end that turns most requests away, and serves the others well. */
  public static final String BUSY = "busy";

  private static final int BUSY_PERCENT = 60;

  /** Few, so that it often turns requests away. */
  private static final int SLOTS = 4;

  private final String id;
  private final OnDisconnect onDisconnect;
  private final boolean busy;
  private final Semaphore slots = new Semaphore(SLOTS);

  private final AnswerCopies copies = new AnswerCopies();

  private EngineProcessMain(String id, OnDisconnect onDisconnect, boolean busy) {
    this.id = id;
    this.onDisconnect = onDisconnect;
    this.busy = busy;
  }

  /** How it answers; each kind takes its share, in percent. */
  private enum Kind {
    WHOLE(25),
    /** Once more behind the answer, as a failure that says that nothing was run. */
    ANSWERED_TWICE(10),
    /** As before, but in place of the next answer on the connection. */
    ANSWERED_TWICE_LATE(5),
    /** After an interim answer. */
    AFTER_INTERIM(5),
    END_UNMARKED(15),
    NOT_RUN(10),
    FAILURE(5),
    /** A failure that other servers give when they have run nothing. */
    NOT_FOUND(5),
    CLOSED(5),
    CUT_SHORT(10),
    /** Bytes that are no answer, until the node closes the connection. */
    ENDLESS(5);

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
   * What it prints for the begin of a run: {@code run ID NANOS HOST LEFT TRY}.
   *
   * @param host where it came from
   * @param millisLeft the time that the caller still waits, as the request says it
   * @param tryNumber which of its caller's tries the run belongs to, as the request says it
   */
  public static String runLine(
      String requestId, long nanos, String host, String millisLeft, String tryNumber) {
    return String.format(Locale.ROOT, RUN_LINE, requestId, nanos, host, millisLeft, tryNumber);
  }

  /** What it prints for the end of a run: {@code end ID NANOS}. */
  public static String endLine(String requestId, long nanos) {
    return String.format(Locale.ROOT, END_LINE, requestId, nanos);
  }

  /**
   * Serves until it is killed.
   *
   * @param arguments id, port (0 for any), a name of {@link OnDisconnect}, and {@link #BUSY} or
   *     nothing
   */
  public static void main(String[] arguments) throws IOException {
    EngineProcessMain engine =
        new EngineProcessMain(
            arguments[0], OnDisconnect.valueOf(arguments[2]), arguments[3].equals(BUSY));
    RawRequests.listen(Integer.parseInt(arguments[1]), engine::answer);
  }

  /** Whether the connection can be used again. */
  private boolean answer(Socket connection, InputStream in, RawRequests.Head head, Random random)
      throws IOException, InterruptedException {
    String requestId = head.requestId();
    if (!head.isFor(id)) {
      send(connection, requestId, notRun("421 Misdirected Request", requestId), random);
      return true;
    }
    if (head.isControl()) {
      send(connection, requestId, framed("200 OK", requestId, REPORT), random);
      return true;
    }
    Kind kind = busy ? drawWhenBusy(random) : Kind.draw(random);
    if (kind == Kind.NOT_RUN || !slots.tryAcquire()) {
      send(connection, requestId, notRun("503 Service Unavailable", requestId), random);
      return true;
    }
    try {
      return run(connection, in, head, kind, random);
    } finally {
      slots.release();
    }
  }

  private static Kind drawWhenBusy(Random random) {
    return random.nextInt(PERCENT) < BUSY_PERCENT ? Kind.NOT_RUN : Kind.WHOLE;
  }

  private boolean run(
      Socket connection, InputStream in, RawRequests.Head head, Kind kind, Random random)
      throws IOException, InterruptedException {
    String requestId = head.requestId();
    boolean isLong = !busy && random.nextInt(PERCENT) < LONG_PERCENT;
    String host = connection.getInetAddress().getHostAddress();
    System.out.print(
        runLine(requestId, System.nanoTime(), host, head.millisLeft(), head.tryNumber()));
    write(connection, copies.takeDue(connection, requestId, random));
    int millis = random.nextInt(isLong ? LONG_MILLIS : SHORT_MILLIS);
    boolean done = onDisconnect.work(connection, in, millis);
    System.out.print(endLine(requestId, System.nanoTime()));
    if (done && kind == Kind.ENDLESS) {
      EndlessAnswer.of(random.nextInt(PERCENT))
          .send(stampedFields(requestId), connection.getOutputStream()::write);
      return false;
    }
    return done && end(connection, kind, requestId, random);
  }

  private boolean end(Socket connection, Kind kind, String requestId, Random random)
      throws IOException {
    String whole = framed("200 OK", requestId, BODY);
    switch (kind) {
      case END_UNMARKED -> write(connection, head("200 OK", requestId) + "\r\n" + BODY);
      case FAILURE ->
          give(connection, requestId, framed("500 Failed", requestId, "failed"), random);
      case NOT_FOUND ->
          give(connection, requestId, framed("404 Not Found", requestId, "not found"), random);
      case ANSWERED_TWICE_LATE -> {
        write(connection, whole);
        copies.sendNext(connection, notRun("503 Service Unavailable", requestId));
      }
      case CUT_SHORT -> write(connection, whole.substring(0, whole.length() - 1));
      case WHOLE -> give(connection, requestId, whole, random);
      case ANSWERED_TWICE ->
          write(connection, whole + notRun("503 Service Unavailable", requestId));
      case AFTER_INTERIM -> write(connection, INTERIM + whole);
      default -> {
        return false;
      }
    }
    return kind != Kind.END_UNMARKED && kind != Kind.CUT_SHORT;
  }

  /** Answers behind the copy that is due. */
  private void send(Socket connection, String requestId, String answer, Random random)
      throws IOException {
    write(connection, copies.takeDue(connection, requestId, random));
    give(connection, requestId, answer, random);
  }

  /** Writes an answer of which a copy may come later. */
  private void give(Socket connection, String requestId, String answer, Random random)
      throws IOException {
    copies.given(connection, requestId, answer, random);
    write(connection, answer);
  }

  private String framed(String status, String requestId, String body) {
    return head(status, requestId) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private String notRun(String status, String requestId) {
    return head(status, requestId) + "X-Fallturn-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  private String head(String status, String requestId) {
    return "HTTP/1.1 %s\r\n".formatted(status) + stampedFields(requestId);
  }

  private String stampedFields(String requestId) {
    return "%s: %s\r\nX-Fallturn-Response-Stamp: stamp-%s\r\n"
        .formatted(RawRequests.REQUEST_ID, requestId, id);
  }

  private static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
