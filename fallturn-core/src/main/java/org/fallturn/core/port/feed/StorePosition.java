package org.fallturn.core.port.feed;

/**
 * A point in the history of the platform's store. Restoring the store from a copy begins a new era:
 * what was written since the copy is lost, and its versions are issued again with other contents.
 * So the era counts before the version; no other code compares versions of two readings.
 *
 * @param era number of the era; 0 from a source that names none
 * @param version version of the store within the era
 */
public record StorePosition(long era, long version) implements Comparable<StorePosition> {

  /** The position of a node that has read nothing. */
  public static final StorePosition NONE = new StorePosition(0, 0);

  /** Returns the later of two positions. */
  public static StorePosition max(StorePosition left, StorePosition right) {
    return left.isAfter(right) ? left : right;
  }

  @Override
  public int compareTo(StorePosition other) {
    int byEra = Long.compare(era, other.era);
    return byEra != 0 ? byEra : Long.compare(version, other.version);
  }

  /** Returns whether this position is later than another. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Returns whether this position belongs to a later era than another. */
  public boolean isOfLaterEraThan(StorePosition other) {
    return era > other.era;
  }

  /** Returns the position of a version in the era of this one. */
  public StorePosition atVersion(long otherVersion) {
    return new StorePosition(era, otherVersion);
  }

  @Override
  public String toString() {
    return era + ":" + version;
  }
}
