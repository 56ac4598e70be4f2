package org.fallturn.node.http;

import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.EndPoint;

/**
 * Finds out when a connection brings bytes that bring its message no further, such as interim
 * heads, chunk sizes or blank lines. Guards nothing until the first message is expected.
 * Thread-safe.
 */
public final class ProgressGuard {

  /** More than the heads of a message, and what stands between two pieces of a body, may take. */
  private static final int MAX_BYTES = 256 * 1024;

  /**
   * How many bytes of a message one byte of its body accounts for, itself included; in chunks of
   * one byte there are six.
   */
  private static final int BYTES_PER_BODY_BYTE = 16;

  /** A connection that is guarded. */
  public interface Guarded {

    /** Its guard. */
    ProgressGuard progress();
  }

  private final AtomicLong unaccounted = new AtomicLong();
  private volatile boolean active;

  /** Returns the guard of a connection; one that guards nothing if it has none. */
  public static ProgressGuard of(EndPoint endPoint) {
    return endPoint instanceof Guarded guarded ? guarded.progress() : new ProgressGuard();
  }

  /** A message is expected next. */
  public void expectMessage() {
    unaccounted.set(0);
    active = true;
  }

  /** Guards nothing until the next message is expected. */
  public void pause() {
    active = false;
  }

  /** Counts bytes that were read; a negative number is none. */
  public void onRead(int bytes) {
    unaccounted.addAndGet(Math.max(0, bytes));
  }

  /** A part of the body was passed on. */
  public void onBody(int bytes) {
    unaccounted.updateAndGet(before -> Math.max(0, before - (long) BYTES_PER_BODY_BYTE * bytes));
  }

  /** Whether more came than a message needs for what it brought. */
  public boolean isExceeded() {
    return active && unaccounted.get() > MAX_BYTES;
  }
}
