package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that only whole events are relayed,
 * and remembers the id of the last event. One instance serves one answer of one engine and is
 * called by one thread at a time.
 */
final class EventFramer {

  private static final String ID_FIELD = "id:";

  private static final int INITIAL_BYTES = 512;

  /** No engine sends such an event; bytes that are no answer may go on without end. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  /** The longest line end. */
  private static final int LINE_END_BYTES = 2;

  private byte[] pending = new byte[INITIAL_BYTES];
  private int length;
  private String lastEventId = "";

  /** Appends bytes and returns all events that are complete now, possibly none. */
  ByteBuffer add(ByteBuffer bytes) {
    int before = length;
    append(bytes);
    int end = endOfWholeEvents(Math.max(1, before - LINE_END_BYTES));
    if (end == 0) {
      return ByteBuffer.allocate(0);
    }
    byte[] whole = Arrays.copyOf(pending, end);
    length -= end;
    System.arraycopy(pending, end, pending, 0, length);
    rememberId(new String(whole, StandardCharsets.UTF_8));
    return ByteBuffer.wrap(whole);
  }

  private void append(ByteBuffer bytes) {
    int added = bytes.remaining();
    if (length + added > pending.length) {
      pending = Arrays.copyOf(pending, Math.max(length + added, 2 * pending.length));
    }
    bytes.get(pending, length, added);
    length += added;
  }

  /** How many bytes it keeps room for. */
  int capacity() {
    return pending.length;
  }

  /** Whether bytes of an incomplete event are buffered. */
  boolean hasPartialEvent() {
    return length > 0;
  }

  /** Whether the incomplete event is longer than any event may be. */
  boolean isEventTooLong() {
    return length > MAX_EVENT_BYTES;
  }

  /** Id of the last whole event that had one; empty when none did. */
  Optional<String> lastEventId() {
    return lastEventId.isEmpty() ? Optional.empty() : Optional.of(lastEventId);
  }

  /** Index after the last blank line that ends at an index or later; 0 when there is none. */
  private int endOfWholeEvents(int from) {
    for (int index = length - 1; index >= from; index--) {
      if (pending[index] != '\n') {
        continue;
      }
      boolean blankLine =
          pending[index - 1] == '\n'
              || index > 1 && pending[index - 1] == '\r' && pending[index - 2] == '\n';
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
