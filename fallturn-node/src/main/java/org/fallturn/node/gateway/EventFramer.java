package org.fallturn.node.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that only whole events are relayed,
 * and remembers the id of the last event. One instance serves one answer of one engine and is
 * called by one thread at a time.
 */
final class EventFramer {

  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private String lastEventId = "";

  /** Appends bytes and returns all events that are complete now, possibly none. */
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

  /** Whether bytes of an incomplete event are buffered. */
  boolean hasPartialEvent() {
    return pending.size() > 0;
  }

  /** Id of the last whole event that had one; empty when none did. */
  Optional<String> lastEventId() {
    return lastEventId.isEmpty() ? Optional.empty() : Optional.of(lastEventId);
  }

  /** Index after the last blank line; 0 when there is none. */
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
