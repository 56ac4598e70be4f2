package org.fallturn.rehearsal.emulator;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.Collectors;

/** The prompt parts that an emulated engine has read, one prompt at a time. Thread-safe. */
final class EmulatedCache {

  private static final double MICROS_PER_MILLI = 1_000;

  private final Map<String, String> parts = new ConcurrentHashMap<>();
  private final Lock reading = new ReentrantLock(true);
  private volatile double pace = Double.POSITIVE_INFINITY;

  /** Sets how many tokens are read in a ms; at first, all at once. */
  void readAt(double tokensPerMilli) {
    pace = tokensPerMilli;
  }

  /** The list of parts as an engine tells it. */
  String list() {
    return parts.entrySet().stream()
        .map(part -> "[\"\",\"" + part.getKey() + "\"," + part.getValue() + ",\"m\"]")
        .collect(Collectors.joining(",", "{\"epoch\":1,\"nextPageToken\":1,\"held\":[", "]}"));
  }

  /**
   * Reads a prompt, and keeps all its parts; returns once it has read those that it did not have.
   *
   * @param prefixHash the parts as the request names them; null when it names none
   */
  void read(String prefixHash) throws InterruptedException {
    if (prefixHash == null) {
      return;
    }
    reading.lock();
    try {
      for (String part : prefixHash.split(",", -1)) {
        String tokens = part.substring(part.indexOf(':') + 1);
        if (parts.put(part.substring(0, part.indexOf(':')), tokens) == null) {
          TimeUnit.MICROSECONDS.sleep((long) (MICROS_PER_MILLI * Long.parseLong(tokens) / pace));
        }
      }
    } finally {
      reading.unlock();
    }
  }
}
