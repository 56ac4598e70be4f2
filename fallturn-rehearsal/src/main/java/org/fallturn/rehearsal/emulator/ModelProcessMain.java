package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * A model engine that prefills or decodes, as a process of its own on plain sockets. It prints runs
 * as {@link EngineProcessMain} does, and its reports tell what it ran a moment before. A prefill is
 * no run.
 */
public final class ModelProcessMain {

  private static final String READING = "";
  private static final long REPORT_EVERY_MILLIS = 200;
  private static final int EVENT_PAUSE_MILLIS = 60;
  private static final int USUAL_MILLIS = 40;

  /** Longer than a gateway waits for the first event while other engines answer. */
  private static final int SLOW_MILLIS = 2_000;

  private static final int PERCENT = 100;
  private static final int SLOW_PERCENT = 5;
  private static final int REJECTED_PERCENT = 12;

  /** Handles that have lapsed when they are to be fetched. */
  private static final int LAPSED_PERCENT = 25;

  private static final String PREFILL = "prefill";
  private static final int BREAKS_OFF_PERCENT = 6;
  private static final String STREAM_HEAD =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final String id;
  private final OnDisconnect onDisconnect;
  private final String stage;
  private final AtomicLong handles = new AtomicLong();
  private final AnswerCopies copies = new AnswerCopies();

  /** The requests that it has, each with the last event that it made. */
  private final Map<String, String> work = new ConcurrentHashMap<>();

  private volatile String report = "";

  private ModelProcessMain(String id, OnDisconnect onDisconnect, String stage) {
    this.id = id;
    this.onDisconnect = onDisconnect;
    this.stage = stage;
  }

  /**
   * Serves until it is killed.
   *
   * @param arguments id, port (0 for any), a name of {@link OnDisconnect}, and the stage
   */
  public static void main(String[] arguments) throws IOException {
    ModelProcessMain engine =
        new ModelProcessMain(arguments[0], OnDisconnect.valueOf(arguments[2]), arguments[3]);
    engine.report = engine.reportNow();
    new Thread(engine::renewReport, "report").start();
    RawRequests.listen(Integer.parseInt(arguments[1]), engine::answer);
  }

  private void renewReport() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(REPORT_EVERY_MILLIS);
        report = reportNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String reportNow() {
    List<String> named =
        work.entrySet().stream()
            .filter(request -> !request.getValue().equals(READING))
            .map(request -> "[\"%s\",1,%s,5]".formatted(request.getKey(), request.getValue()))
            .collect(Collectors.toList());
    return ("{\"stage\":\"%s\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,"
            + "\"running\":%d,\"executions\":[%s]}")
        .formatted(stage, work.size(), String.join(",", named));
  }

  /** Whether the connection can be used again. */
  private boolean answer(Socket connection, InputStream in, RawRequests.Head head, Random random)
      throws IOException, InterruptedException {
    String requestId = head.requestId();
    if (!head.isFor(id)) {
      send(connection, requestId, whole("421 Misdirected Request", requestId, ""), random);
    } else if (head.isControl()) {
      boolean asksForReport = head.target().equals("/-/report");
      String status = asksForReport ? "200 OK" : "404 No";
      send(connection, requestId, whole(status, requestId, report), random);
    } else if (head.header("X-Fallturn-Stage", "").equals(PREFILL) != stage.equals(PREFILL)) {
      send(connection, requestId, whole("421 Misdirected Request", requestId, ""), random);
    } else if (random.nextInt(PERCENT) < REJECTED_PERCENT || isLapsed(head, random)) {
      send(connection, requestId, whole("503 Busy", requestId, ""), random);
    } else if (stage.equals(PREFILL)) {
      String handle = "h-" + id + "-" + handles.incrementAndGet();
      onDisconnect.work(connection, in, random.nextInt(USUAL_MILLIS));
      String body = "{\"kvHandle\":\"" + handle + "\"}";
      send(connection, requestId, whole("200 OK", requestId, body), random);
    } else {
      return run(connection, in, head, random);
    }
    return true;
  }

  private static boolean isLapsed(RawRequests.Head head, Random random) {
    boolean fetches = !head.header("X-Fallturn-Kv-Source", "").isEmpty();
    return fetches && random.nextInt(PERCENT) < LAPSED_PERCENT;
  }

  private boolean run(Socket connection, InputStream in, RawRequests.Head head, Random random)
      throws IOException, InterruptedException {
    String requestId = head.requestId();
    String host = connection.getInetAddress().getHostAddress();
    System.out.print(
        EngineProcessMain.runLine(
            requestId, System.nanoTime(), host, head.millisLeft(), head.tryNumber()));
    work.put(requestId, READING);
    try {
      writeOrIgnore(connection, copies.takeDue(connection, requestId, random));
      return stream(connection, in, head, random);
    } finally {
      work.remove(requestId);
      System.out.print(EngineProcessMain.endLine(requestId, System.nanoTime()));
    }
  }

  /** Whether the stream was written to its end. */
  private boolean stream(Socket connection, InputStream in, RawRequests.Head head, Random random)
      throws IOException, InterruptedException {
    String requestId = head.requestId();
    int first = Integer.parseInt(head.header("Last-Event-Id", "0")) + 1;
    boolean slow = random.nextInt(PERCENT) < SLOW_PERCENT;
    boolean breaksOff = random.nextInt(PERCENT) < BREAKS_OFF_PERCENT;
    if (!onDisconnect.work(connection, in, random.nextInt(slow ? SLOW_MILLIS : USUAL_MILLIS))) {
      return false;
    }
    writeOrIgnore(connection, head("200 OK", requestId) + STREAM_HEAD);
    for (int event = first; event <= StreamEvents.COUNT; event++) {
      work.put(requestId, Integer.toString(event));
      if (breaksOff && event > first) {
        breakOff(connection, random);
        return false;
      }
      writeOrIgnore(connection, chunk(StreamEvents.event(event, EmulatedEngine.FIRST_VERSION)));
      if (!onDisconnect.work(connection, in, random.nextInt(EVENT_PAUSE_MILLIS))) {
        return false;
      }
    }
    write(connection, chunk(""));
    return true;
  }

  private void breakOff(Socket connection, Random random) throws IOException, InterruptedException {
    connection.close();
    if (onDisconnect == OnDisconnect.WORK_ON) {
      TimeUnit.MILLISECONDS.sleep(random.nextInt(SLOW_MILLIS));
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private String whole(String status, String requestId, String body) {
    return head(status, requestId)
        + (status.startsWith("503") ? "X-Fallturn-Not-Executed: 1\r\n" : "")
        + ("Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  private String head(String status, String requestId) {
    return "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s%s\r\n"
        .formatted(
            status,
            RawRequests.REQUEST_ID,
            requestId,
            EmulatedEngine.STAMP,
            EmulatedEngine.STAMP_PREFIX,
            id);
  }

  /** Answers behind the copy that is due. */
  private void send(Socket connection, String requestId, String answer, Random random)
      throws IOException {
    write(connection, copies.takeDue(connection, requestId, random));
    copies.given(connection, requestId, answer, random);
    write(connection, answer);
  }

  /** One that works on does not notice that nobody reads. */
  private void writeOrIgnore(Socket connection, String text) throws IOException {
    try {
      write(connection, text);
    } catch (IOException e) {
      if (onDisconnect != OnDisconnect.WORK_ON) {
        throw e;
      }
    }
  }

  private static void write(Socket connection, String text) throws IOException {
    OutputStream out = connection.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
