package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a model, for example {@code order-assistant-8b}.
 *
 * @param value non-blank text, compared exactly
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ModelName {
    Identifiers.requireText(value, "model name");
  }

  @Override
  public int compareTo(ModelName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
