package org.fallturn.node.http;

/**
 * Ends the reading of one connection after some bytes, so that others get their turn: a connection
 * that always has more to read would keep its thread.
 *
 * <p>Invariant: after a turn has ended, the next one begins, so that a reader who asks again gets
 * on. The thread that reads the connection calls.
 */
public final class ReadTurn {

  /** More than most messages; connections with more are looked at again when others were. */
  private static final int MAX_BYTES = 64 * 1024;

  private int readBytes;

  /** Counts bytes that were read; a negative number is none. */
  public void add(int bytes) {
    readBytes += Math.max(0, bytes);
  }

  /** Whether the turn is over; if so, the next one begins. */
  public boolean takeEnd() {
    boolean over = readBytes >= MAX_BYTES;
    if (over) {
      readBytes = 0;
    }
    return over;
  }

  /** Begins a turn: the connection waits to be readable again. */
  public void begin() {
    readBytes = 0;
  }
}
