package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one caller request, unique in the fleet; echoed by engines on every chunk.
 *
 * @param value non-blank text, compared exactly
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

  /** Rejects blank text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RequestId {
    Identifiers.requireText(value, "request id");
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
