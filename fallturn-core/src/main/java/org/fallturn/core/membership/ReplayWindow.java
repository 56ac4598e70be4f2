package org.fallturn.core.membership;

/**
 * Takes each sequence number of one sender at most once. Numbers may come out of order within a
 * window; older ones, and those of an older session, are refused. Not thread-safe.
 */
public final class ReplayWindow {

  private static final int WINDOW = Long.SIZE;

  private long session = Long.MIN_VALUE;
  private long highest;
  private long seen;

  /** Whether the message is new; a second call with the same numbers says no. */
  public boolean accept(long messageSession, long sequence) {
    if (messageSession < session) {
      return false;
    }
    if (messageSession > session) {
      session = messageSession;
      highest = sequence;
      seen = 1;
      return true;
    }
    if (sequence > highest) {
      long shift = sequence - highest;
      seen = shift >= WINDOW || shift < 0 ? 1 : (seen << shift) | 1;
      highest = sequence;
      return true;
    }
    long age = highest - sequence;
    if (age >= WINDOW || age < 0 || (seen >>> age & 1) != 0) {
      return false;
    }
    seen |= 1L << age;
    return true;
  }
}
