package org.fallturn.node.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at the ends of events, so that only whole events are passed
 * on, and remembers the id of the last one. One answer of one engine; one thread at a time calls.
 */
final class EventFramer {

  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private String lastEventId = "";

  /** Adds bytes; returns the whole events that they complete, possibly none. */
  ByteBuffer add(ByteBuffer bytes) {
    byte[] added = new byte[bytes.remaining()];
    bytes.get(added);
    pending.writeBytes(added);
    byte[] all = pending.toByteArray();
    int end = endOfWholeEvents(all);
    if (end == 0) {
      return ByteBuffer.allocate(0);
    }
    pending.reset();
    pending.write(all, end, all.length - end);
    rememberId(new String(all, 0, end, StandardCharsets.UTF_8));
    return ByteBuffer.wrap(all, 0, end);
  }

  /** Whether bytes of an unfinished event are held. */
  boolean hasPartialEvent() {
    return pending.size() > 0;
  }

  /** Id of the last whole event; empty when none bore one. */
  Optional<String> lastEventId() {
    return lastEventId.isEmpty() ? Optional.empty() : Optional.of(lastEventId);
  }

  /** One past the last blank line. */
  private static int endOfWholeEvents(byte[] bytes) {
    for (int index = bytes.length - 1; index > 0; index--) {
      if (bytes[index] != '\n') {
        continue;
      }
      boolean blankLine =
          bytes[index - 1] == '\n'
              || index > 1 && bytes[index - 1] == '\r' && bytes[index - 2] == '\n';
      if (blankLine) {
        return index + 1;
      }
    }
    return 0;
  }

  private void rememberId(String events) {
    int at = events.startsWith(ID_FIELD) ? 0 : -1;
    int last = events.lastIndexOf("\n" + ID_FIELD);
    if (last >= 0) {
      at = last + 1;
    }
    if (at < 0) {
      return;
    }
    int end = events.indexOf('\n', at);
    lastEventId = events.substring(at + ID_FIELD.length(), end < 0 ? events.length() : end).trim();
  }
}
