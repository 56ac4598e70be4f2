package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a zone: machines that share a room and fail together.
 *
 * @param value non-blank text, compared exactly
 */
public record ZoneName(@JsonValue String value) implements Comparable<ZoneName> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ZoneName {
    Identifiers.requireText(value, "zone name");
  }

  @Override
  public int compareTo(ZoneName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
