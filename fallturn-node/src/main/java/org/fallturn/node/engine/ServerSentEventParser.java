package org.fallturn.node.engine;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into the data of each event. Takes buffers cut anywhere.
 * Fields other than {@code data}, and comments, are skipped. Not thread-safe.
 */
public final class ServerSentEventParser {

  private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a', ':'};
  private static final int FIRST_CAPACITY = 512;

  private final int maxEventBytes;
  private final DataHandler handler;
  private byte[] line = new byte[FIRST_CAPACITY];
  private int length;

  /** Takes the data of one event, valid during the call only. */
  @FunctionalInterface
  public interface DataHandler {
    /** One event's data: {@code length} bytes from {@code offset}. */
    void onData(byte[] bytes, int offset, int length);
  }

  /**
   * A parser at the start of a stream.
   *
   * @param maxEventBytes longest line taken
   * @param handler called with each event's data
   */
  public ServerSentEventParser(int maxEventBytes, DataHandler handler) {
    this.maxEventBytes = maxEventBytes;
    this.handler = handler;
  }

  /**
   * Takes the next bytes of the stream.
   *
   * @throws EventTooLongException when a line is longer than the bound
   */
  public void accept(ByteBuffer buffer) throws EventTooLongException {
    while (buffer.hasRemaining()) {
      int end = endOfLine(buffer);
      boolean whole = end < buffer.limit();
      append(buffer, end - buffer.position());
      if (whole) {
        buffer.get();
        endLine();
      }
    }
  }

  private static int endOfLine(ByteBuffer buffer) {
    int limit = buffer.limit();
    int index = buffer.position();
    while (index < limit && buffer.get(index) != '\n') {
      index++;
    }
    return index;
  }

  private void append(ByteBuffer buffer, int count) throws EventTooLongException {
    if (length + count > maxEventBytes) {
      throw new EventTooLongException(maxEventBytes);
    }
    if (length + count > line.length) {
      line = Arrays.copyOf(line, Math.max(length + count, 2 * line.length));
    }
    buffer.get(line, length, count);
    length += count;
  }

  private void endLine() {
    int end = length;
    length = 0;
    if (end > 0 && line[end - 1] == '\r') {
      end--;
    }
    int from = DATA_FIELD.length;
    if (end < from || !Arrays.equals(line, 0, from, DATA_FIELD, 0, from)) {
      return;
    }
    if (from < end && line[from] == ' ') {
      from++;
    }
    handler.onData(line, from, end - from);
  }

  /** A line was longer than the bound. */
  public static final class EventTooLongException extends Exception {
    private static final long serialVersionUID = 1L;

    EventTooLongException(int maxEventBytes) {
      super("an event is longer than " + maxEventBytes + " bytes");
    }
  }
}
