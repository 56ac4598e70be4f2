package org.fallturn.rehearsal.emulator;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Work of an engine that ends only when its caller closes the connection.
 *
 * @param senderHost host that the connection came from
 * @param endNanos when it did, by the steady clock; the greatest value while it has not
 */
public record OpenWork(String requestId, String senderHost, long beginNanos, long endNanos) {

  /** Of a sender that does not matter. */
  public OpenWork(String requestId, long beginNanos, long endNanos) {
    this(requestId, "", beginNanos, endNanos);
  }

  /** Whether the caller has closed the connection. */
  public boolean ended() {
    return endNanos != Long.MAX_VALUE;
  }

  private OpenWork endedAt(long nanos) {
    return new OpenWork(requestId, senderHost, beginNanos, nanos);
  }

  /** The open work of one engine. Thread-safe. */
  static final class Book {

    private final Map<Object, OpenWork> works = new ConcurrentHashMap<>();

    /** Notes the begin of a work; the action returned notes its end. */
    Runnable begin(String requestId, String senderHost) {
      Object key = new Object();
      OpenWork open = new OpenWork(requestId, senderHost, System.nanoTime(), Long.MAX_VALUE);
      works.put(key, open);
      return () -> works.put(key, open.endedAt(System.nanoTime()));
    }

    List<OpenWork> all() {
      return List.copyOf(works.values());
    }
  }
}
