package org.fallturn.rehearsal.emulator;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;

/** Work of one engine that lasts until the connection of its request ends. Thread-safe. */
final class HeldWork {

  private static final long CHECK_MILLIS = 10;

  private final OpenWork.Book book = new OpenWork.Book();
  private volatile Duration afterEnd = Duration.ZERO;

  /** From now on it goes on for so long after the end of its connection. */
  void lastBeyondEnd(Duration duration) {
    afterEnd = duration;
  }

  /** Whether it goes on after the end of its connection. */
  boolean lastsBeyondEnd() {
    return !afterEnd.isZero();
  }

  /** Works on a request. A closed connection shows when its socket can be read to its end. */
  void work(String requestId, Request request) throws Exception {
    Runnable end = book.begin(requestId, Request.getRemoteAddr(request));
    EndPoint connection = request.getConnectionMetaData().getConnection().getEndPoint();
    ByteBuffer buffer = BufferUtil.allocate(1);
    while (connection.fill(buffer) == 0) {
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
    TimeUnit.NANOSECONDS.sleep(afterEnd.toNanos());
    end.run();
  }

  /** All of it, also what has ended. */
  List<OpenWork> all() {
    return book.all();
  }

  /** Fields of a report that name it. */
  String report() {
    List<String> open =
        book.all().stream()
            .filter(work -> !work.ended())
            .map(work -> "[\"" + work.requestId() + "\",1,1,5]")
            .collect(Collectors.toList());
    return String.format(
        Locale.ROOT, ",\"running\":%d,\"executions\":[%s]", open.size(), String.join(",", open));
  }
}
