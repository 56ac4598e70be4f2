package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a region: a group of zones near each other.
 *
 * @param value non-blank text, compared exactly
 */
public record RegionName(@JsonValue String value) implements Comparable<RegionName> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RegionName {
    Identifiers.requireText(value, "region name");
  }

  @Override
  public int compareTo(RegionName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
