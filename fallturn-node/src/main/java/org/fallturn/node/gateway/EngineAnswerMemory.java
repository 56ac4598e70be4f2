package org.fallturn.node.gateway;

import java.util.HashMap;
import java.util.Map;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The memory that answers of engines take in this node while they are read: the fields of heads,
 * and bodies and events that are kept until they are whole.
 *
 * <p>Invariant: bytes are reserved before they are kept, and never more than the bound; no engine
 * has more than its part, so that the answers of others find room. Thread-safe.
 */
final class EngineAnswerMemory {

  /** What any answer may keep without asking; most need no more. */
  private static final int FREE_BYTES = 8 * 1024;

  /** Reserved at a time, so that an answer that grows asks seldom. */
  private static final int STEP_BYTES = 16 * 1024;

  /** An engine may have one of so many parts. */
  private static final int PARTS = 2;

  /** What a field of a head takes beside its characters. */
  private static final int FIELD_BYTES = 96;

  private final long boundBytes;
  private final Map<NetworkAddress, Long> byEngine = new HashMap<>();
  private long reservedBytes;

  /**
   * Memory of which nothing is reserved.
   *
   * @param boundBytes the most that all answers may reserve
   */
  EngineAnswerMemory(long boundBytes) {
    this.boundBytes = boundBytes;
  }

  /** Opens the share of one answer. */
  Share open(NetworkAddress engine) {
    return new Share(engine);
  }

  /** Bytes that are reserved now. */
  synchronized long reserved() {
    return reservedBytes;
  }

  private synchronized boolean tryReserve(NetworkAddress engine, int bytes) {
    long ofEngine = byEngine.getOrDefault(engine, 0L) + bytes;
    if (ofEngine > boundBytes / PARTS || reservedBytes + bytes > boundBytes) {
      return false;
    }
    byEngine.put(engine, ofEngine);
    reservedBytes += bytes;
    return true;
  }

  private synchronized void giveBack(NetworkAddress engine, int bytes) {
    reservedBytes -= bytes;
    byEngine.compute(engine, (address, before) -> before == bytes ? null : before - bytes);
  }

  /** What one answer keeps. Thread-safe. */
  final class Share {

    private final NetworkAddress engine;
    private int headBytes;
    private int bodyBytes;
    private int reserved;
    private boolean released;

    private Share(NetworkAddress engine) {
      this.engine = engine;
    }

    /** Makes room for one more field of the head; false when there is none. */
    synchronized boolean tryAddField(String name, String value) {
      headBytes += FIELD_BYTES + name.length() + (value == null ? 0 : value.length());
      return tryHold();
    }

    /** Makes room for a body, or a part of one, of so many bytes in all; false if there is none. */
    synchronized boolean tryGrowBody(int bytes) {
      bodyBytes = Math.max(bodyBytes, bytes);
      return tryHold();
    }

    private boolean tryHold() {
      int missing = headBytes + bodyBytes - FREE_BYTES - reserved;
      if (missing <= 0) {
        return true;
      }
      int step = Math.max(missing, STEP_BYTES);
      if (released || !tryReserve(engine, step)) {
        return false;
      }
      reserved += step;
      return true;
    }

    /** Gives the room back; nothing more is to be kept. */
    synchronized void release() {
      released = true;
      if (reserved > 0) {
        giveBack(engine, reserved);
        reserved = 0;
      }
    }
  }
}
