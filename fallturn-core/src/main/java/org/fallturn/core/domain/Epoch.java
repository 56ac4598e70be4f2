package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Generation of a pool's leadership. Each change of leader raises it by compare-and-set in the
 * table service; an engine refuses orders of any epoch below the highest it acknowledged.
 *
 * @param value zero for "no leader yet", then rising by one or more
 */
public record Epoch(@JsonValue long value) implements Comparable<Epoch> {

  /** The epoch before the first leader. */
  public static final Epoch NONE = new Epoch(0);

  /** Rejects a negative value. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Epoch {
    if (value < 0) {
      throw new IllegalArgumentException("epoch must not be negative: " + value);
    }
  }

  /** The epoch that the next leader takes. */
  public Epoch next() {
    return new Epoch(value + 1);
  }

  @Override
  public int compareTo(Epoch other) {
    return Long.compare(value, other.value);
  }
}
