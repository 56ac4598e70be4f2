package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of one application back end as the machine list gives it.
 *
 * @param value non-blank text, compared exactly
 */
public record BackEndId(@JsonValue String value) implements Comparable<BackEndId> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public BackEndId {
    Identifiers.requireText(value, "back end id");
  }

  @Override
  public int compareTo(BackEndId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
