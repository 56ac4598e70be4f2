package org.fallturn.node.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into the data of each event. Takes buffers cut anywhere.
 * Fields other than {@code data}, and comments, are skipped. Not thread-safe.
 */
public final class ServerSentEventParser {

  private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a', ':'};

  private final int maxEventBytes;
  private final Consumer<byte[]> onData;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /**
   * A parser at the start of a stream.
   *
   * @param maxEventBytes longest line taken
   * @param onData called with each event's data
   */
  public ServerSentEventParser(int maxEventBytes, Consumer<byte[]> onData) {
    this.maxEventBytes = maxEventBytes;
    this.onData = onData;
  }

  /**
   * Takes the next bytes of the stream.
   *
   * @throws EventTooLongException when a line is longer than the bound
   */
  public void accept(ByteBuffer buffer) throws EventTooLongException {
    while (buffer.hasRemaining()) {
      byte next = buffer.get();
      if (next == '\n') {
        endLine();
      } else if (next != '\r') {
        append(next);
      }
    }
  }

  private void append(byte next) throws EventTooLongException {
    if (line.size() >= maxEventBytes) {
      throw new EventTooLongException(maxEventBytes);
    }
    line.write(next);
  }

  private void endLine() {
    byte[] bytes = line.toByteArray();
    line.reset();
    if (!startsWithDataField(bytes)) {
      return;
    }
    int from = DATA_FIELD.length;
    if (from < bytes.length && bytes[from] == ' ') {
      from++;
    }
    onData.accept(java.util.Arrays.copyOfRange(bytes, from, bytes.length));
  }

  private static boolean startsWithDataField(byte[] bytes) {
    if (bytes.length < DATA_FIELD.length) {
      return false;
    }
    for (int index = 0; index < DATA_FIELD.length; index++) {
      if (bytes[index] != DATA_FIELD[index]) {
        return false;
      }
    }
    return true;
  }

  /** A line was longer than the bound. */
  public static final class EventTooLongException extends Exception {
    private static final long serialVersionUID = 1L;

    EventTooLongException(int maxEventBytes) {
      super("an event is longer than " + maxEventBytes + " bytes");
    }
  }
}
