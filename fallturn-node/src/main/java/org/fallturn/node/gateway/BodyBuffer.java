package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The body of one request as it comes in, in memory that is reserved before a byte is kept. The
 * thread that reads the body calls.
 */
final class BodyBuffer {

  private static final byte[] EMPTY = {};
  private static final int FIRST_BYTES = 4 * 1024;

  private final BodyMemory memory;
  private final int maxBytes;
  private byte[] bytes = EMPTY;
  private int size;
  private int reserved;

  /** What became of bytes that came. */
  enum Added {
    KEPT,
    /** The body is longer than a body may be. */
    TOO_LONG,
    /** Other bodies take the memory that there is. */
    NO_ROOM
  }

  /**
   * An empty body without any room.
   *
   * @param maxBytes the longest that it may become
   */
  BodyBuffer(BodyMemory memory, int maxBytes) {
    this.memory = memory;
    this.maxBytes = maxBytes;
  }

  /** Reserves room for a body whose length is known; false when there is none. */
  boolean tryReserve(int length) {
    if (!memory.tryReserve(length, length)) {
      return false;
    }
    reserved = length;
    return true;
  }

  Added add(ByteBuffer more) {
    int needed = size + more.remaining();
    if (needed > maxBytes) {
      return Added.TOO_LONG;
    }
    if (needed > bytes.length && !grow(needed)) {
      return Added.NO_ROOM;
    }
    int length = more.remaining();
    more.get(bytes, size, length);
    size += length;
    return Added.KEPT;
  }

  /** A body of known length gets all its room at once; any other one, twice as much each time. */
  private boolean grow(int needed) {
    if (needed <= reserved && bytes.length == 0) {
      bytes = new byte[reserved];
      return true;
    }
    int capacity = Math.min(maxBytes, Math.max(needed, Math.max(FIRST_BYTES, 2 * bytes.length)));
    if (!memory.tryReserve(capacity, capacity)) {
      return false;
    }
    bytes = Arrays.copyOf(bytes, capacity);
    memory.release(reserved);
    reserved = capacity;
    return true;
  }

  /**
   * Returns the whole body, whose length in bytes stays reserved; whoever takes it gives that back.
   */
  byte[] take() {
    byte[] whole = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    memory.release(reserved - whole.length);
    reserved = 0;
    bytes = EMPTY;
    return whole;
  }

  /** Drops what has come and gives its room back. */
  void release() {
    memory.release(reserved);
    reserved = 0;
    size = 0;
    bytes = EMPTY;
  }
}
