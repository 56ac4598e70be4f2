package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.WeakHashMap;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;

/**
 * Turns requests away, and sends each refusal once more on its connection: in front of the next
 * answer there, or of the answer to the same id once that comes again. Thread-safe.
 */
final class RefusalCopies {

  private static final double TURNED_AWAY_PART = 0.8;

  /** Small, since such a copy ends the connection before its id can come again there. */
  private static final double BEFORE_NEXT_ANSWER_PART = 0.25;

  /** Weak, since connections end without notice. */
  private final Map<EndPoint, Refusals> byConnection = new WeakHashMap<>();

  private Random random = new Random();
  private boolean active;

  /** A refusal that has not been repeated. */
  private record Refusal(String requestId, byte[] answer, boolean beforeNextAnswer) {}

  /** The refusals of one connection. */
  private static final class Refusals {

    private final Set<String> requestIds = new HashSet<>();
    private final List<Refusal> due = new ArrayList<>();
  }

  synchronized void begin(long seed) {
    random = new Random(seed);
    active = true;
  }

  synchronized void end() {
    active = false;
    byConnection.clear();
  }

  /** Whether a request is turned away; what was refused on its connection before is not. */
  synchronized boolean turnsAway(EndPoint connection, String requestId) {
    return active
        && !refusals(connection).requestIds.contains(requestId)
        && random.nextDouble() < TURNED_AWAY_PART;
  }

  /** Keeps a refusal that a connection is about to carry. */
  synchronized void add(EndPoint connection, String requestId, int status, HttpFields headers) {
    if (active && refusals(connection).requestIds.add(requestId)) {
      boolean beforeNext = random.nextDouble() < BEFORE_NEXT_ANSWER_PART;
      refusals(connection).due.add(new Refusal(requestId, bytes(status, headers), beforeNext));
    }
  }

  /** Writes the copies that come in front of the answer to a request; its id may be null. */
  void writeDue(EndPoint connection, String requestId) throws IOException {
    for (byte[] copy : takeDue(connection, requestId)) {
      Blocking.write(connection, copy);
    }
  }

  private synchronized List<byte[]> takeDue(EndPoint connection, String requestId) {
    if (!active) {
      return List.of();
    }
    List<Refusal> due = refusals(connection).due;
    List<Refusal> now =
        due.stream()
            .filter(one -> one.beforeNextAnswer() || one.requestId().equals(requestId))
            .toList();
    due.removeAll(now);
    return now.stream().map(Refusal::answer).toList();
  }

  private Refusals refusals(EndPoint connection) {
    return byConnection.computeIfAbsent(connection, opened -> new Refusals());
  }

  private static byte[] bytes(int status, HttpFields headers) {
    StringBuilder answer = new StringBuilder("HTTP/1.1 ");
    answer.append(status).append(' ').append(HttpStatus.getMessage(status)).append("\r\n");
    headers.forEach(
        header ->
            answer.append(header.getName()).append(": ").append(header.getValue()).append("\r\n"));
    answer.append("Content-Length: 0\r\n\r\n");
    return answer.toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
