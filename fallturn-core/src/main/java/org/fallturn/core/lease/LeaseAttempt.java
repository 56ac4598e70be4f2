package org.fallturn.core.lease;

/**
 * A write of a lease row whose outcome is not settled yet. It is resent unchanged, so that at most
 * one copy can take effect, until the row's version shows what became of it. Owned by the thread of
 * its {@link PoolLease}.
 */
final class LeaseAttempt {

  /** What a write is for. */
  enum Kind {
    ACQUIRE,
    RENEW,
    RELEASE
  }

  private final Kind kind;
  private final LeaseWrite write;
  private final long firstSentNanos;
  private long lastSentNanos;
  private long retryAtNanos;
  private boolean inFlight = true;
  private boolean mayHaveLanded;

  LeaseAttempt(Kind kind, LeaseWrite write, long nowNanos) {
    this.kind = kind;
    this.write = write;
    this.firstSentNanos = nowNanos;
    this.lastSentNanos = nowNanos;
  }

  Kind kind() {
    return kind;
  }

  LeaseWrite write() {
    return write;
  }

  LeaseRecord record() {
    return write.lease();
  }

  long firstSentNanos() {
    return firstSentNanos;
  }

  long lastSentNanos() {
    return lastSentNanos;
  }

  boolean inFlight() {
    return inFlight;
  }

  boolean mayHaveLanded() {
    return mayHaveLanded;
  }

  /** Whether a row of this version settles the attempt. */
  boolean isSettledBy(long version) {
    return version > write.expectedVersion();
  }

  /** Whether a row shows that this attempt took effect and is the latest write. */
  boolean isShownBy(LeaseRow row) {
    return row.lease().isPresent()
        && row.lease().get().attemptId().equals(write.lease().attemptId());
  }

  boolean isResendDue(long nowNanos) {
    return !inFlight && nowNanos - retryAtNanos >= 0;
  }

  void resent(long nowNanos) {
    inFlight = true;
    lastSentNanos = nowNanos;
  }

  void failed(boolean landedPerhaps, long retryAt) {
    inFlight = false;
    mayHaveLanded |= landedPerhaps;
    retryAtNanos = retryAt;
  }
}
