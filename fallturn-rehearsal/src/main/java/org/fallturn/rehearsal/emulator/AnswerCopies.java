package org.fallturn.rehearsal.emulator;

import java.net.Socket;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.WeakHashMap;

/**
 * Copies of answers, which an engine sends once more on the connection on which it gave them: in
 * place of the next answer, whoever waits for that, or in front of the answer to the same request
 * when that comes again. One thread serves a connection.
 */
final class AnswerCopies {

  private static final int PERCENT = 100;

  /** Answers of which a copy comes in place of the next one. */
  private static final int NEXT_PERCENT = 6;

  /** Requests that come again and meet a copy of the answer that they had. */
  private static final int SAME_REQUEST_PERCENT = 90;

  private final Map<Socket, Given> givenByConnection =
      Collections.synchronizedMap(new WeakHashMap<>());

  /** What was answered on one connection. */
  private static final class Given {

    private final Map<String, String> byRequest = new HashMap<>();
    private String next = "";
  }

  /** Notes an answer that is written now. */
  void given(Socket connection, String requestId, String answer, Random random) {
    if (requestId.isEmpty()) {
      return;
    }
    givenOn(connection).byRequest.put(requestId, answer);
    if (random.nextInt(PERCENT) < NEXT_PERCENT) {
      sendNext(connection, answer);
    }
  }

  /** Sends this answer in place of the next one. */
  void sendNext(Socket connection, String answer) {
    givenOn(connection).next = answer;
  }

  /**
   * Takes what comes in front of the answer to a request; empty when nothing does.
   *
   * @param requestId empty for a call that is no caller's request
   */
  String takeDue(Socket connection, String requestId, Random random) {
    Given given = givenOn(connection);
    String earlier = given.byRequest.get(requestId);
    if (earlier != null && random.nextInt(PERCENT) < SAME_REQUEST_PERCENT) {
      return earlier;
    }
    String next = given.next;
    given.next = "";
    return next;
  }

  private Given givenOn(Socket connection) {
    return givenByConnection.computeIfAbsent(connection, opened -> new Given());
  }
}
