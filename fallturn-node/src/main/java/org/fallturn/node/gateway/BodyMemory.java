package org.fallturn.node.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that the bodies of all requests of this node take, from their first byte to the end of
 * their answer.
 *
 * <p>Invariant: bytes are reserved before they are kept, and never more than the bound. Large
 * bodies leave a part of it to small ones, which are most: a few slow uploads would otherwise take
 * all of it for as long as they last. Thread-safe.
 */
final class BodyMemory {

  /** Bodies up to this size may use the whole bound. */
  private static final int SMALL_BODY_BYTES = 64 * 1024;

  private static final double LARGE_BODIES_SHARE = 0.75;

  private final long boundBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  BodyMemory(long boundBytes) {
    this.boundBytes = boundBytes;
  }

  /**
   * Reserves room; false when there is none, and nothing is reserved then.
   *
   * @param bytes how much
   * @param bodyBytes how long the body is, as far as that is known
   */
  boolean tryReserve(int bytes, long bodyBytes) {
    double share = bodyBytes <= SMALL_BODY_BYTES ? 1 : LARGE_BODIES_SHARE;
    long limit = (long) (boundBytes * share) - bytes;
    long before =
        reservedBytes.getAndUpdate(reserved -> reserved <= limit ? reserved + bytes : reserved);
    return before <= limit;
  }

  /** Gives room back. */
  void release(int bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** Bytes that are reserved now. */
  long reserved() {
    return reservedBytes.get();
  }
}
