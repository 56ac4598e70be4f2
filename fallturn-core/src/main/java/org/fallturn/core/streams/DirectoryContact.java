package org.fallturn.core.streams;

/**
 * How recently the list of engines was confirmed as the newest, by the store or through other
 * nodes. Any thread may call.
 */
public interface DirectoryContact {

  /** A list that is always the newest. */
  DirectoryContact UNBROKEN =
      new DirectoryContact() {
        @Override
        public long ageNanos(long nowNanos) {
          return 0;
        }

        @Override
        public long maxGapNanos() {
          return Long.MAX_VALUE;
        }
      };

  /** Time since the last confirmation. */
  long ageNanos(long nowNanos);

  /** The longest time between two confirmations at which contact counts as unbroken. */
  long maxGapNanos();
}
