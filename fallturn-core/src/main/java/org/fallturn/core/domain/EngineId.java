package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of one model engine as the machine list gives it.
 *
 * @param value non-blank text, compared exactly
 */
public record EngineId(@JsonValue String value) implements Comparable<EngineId> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public EngineId {
    Identifiers.requireText(value, "engine id");
  }

  @Override
  public int compareTo(EngineId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
